// SPDX-License-Identifier: Apache-2.0
#include <runtime/programsettings.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace sailtiller {

namespace {

program_settings make_settings()
{
    program_settings flags("test", "A test.");
    flags.declare("name", "a name", std::nullopt);
    flags.declare("count", "a count", "5");
    flags.declare("listen", "an address", "127.0.0.1:1");
    flags.declare_list("key", "a key");
    return flags;
}

TEST(program_settings, a_flag_goes_before_the_variable)
{
    setenv("SAILTILLER_COUNT", "7", 1);
    program_settings flags = make_settings();
    flags.parse({"--name", "a"});
    EXPECT_EQ(flags.integer("count", 0, 10), 7);
    program_settings again = make_settings();
    again.parse({"--name", "a", "--count", "8"});
    EXPECT_EQ(again.integer("count", 0, 10), 8);
    unsetenv("SAILTILLER_COUNT");
}

TEST(program_settings, every_fault_is_told_with_its_value_and_what_is_accepted)
{
    program_settings flags = make_settings();
    flags.parse({"--count", "many", "--listen", "example:80"});
    flags.integer("count", 0, 10);
    flags.address("listen");
    try {
        flags.require_sound();
        FAIL();
    } catch (const settings_stop& stop) {
        EXPECT_EQ(stop.exit_code, exit_bad_usage);
        for (const char* part : {"--name", "'many'", "from 0 to 10", "'example:80'", "127.0.0.1:8080"}) {
            EXPECT_NE(stop.text.find(part), std::string::npos) << part << " in " << stop.text;
        }
    }
}

class settings_file : public testing::Test
{
public:
    settings_file()
    {
        std::string name = "/tmp/sailtiller-settings-XXXXXX";
        const int descriptor = mkstemp(name.data());
        close(descriptor);
        this->path = name;
    }

    ~settings_file() override { std::remove(this->path.c_str()); }

    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;

protected:
    void write(const std::string& text) const { std::ofstream(this->path) << text; }

    std::string path;
};

TEST_F(settings_file, holds_settings_by_the_names_of_the_flags)
{
    this->write("# a comment\nname=a\ncount=3\nkey=x\nkey=y\n");
    program_settings flags = make_settings();
    flags.parse({"--config", this->path});
    EXPECT_EQ(flags.text("name"), "a");
    EXPECT_EQ(flags.integer("count", 0, 10), 3);
    EXPECT_EQ(flags.texts("key"), (std::vector<std::string>{"x", "y"}));
}

TEST_F(settings_file, gives_way_to_variables_and_flags)
{
    this->write("name=a\ncount=3\n");
    setenv("SAILTILLER_COUNT", "7", 1);
    setenv("SAILTILLER_CONFIG", this->path.c_str(), 1);
    program_settings flags = make_settings();
    flags.parse({});
    EXPECT_EQ(flags.integer("count", 0, 10), 7);
    EXPECT_EQ(flags.text("name"), "a");
    program_settings again = make_settings();
    again.parse({"--count", "8"});
    EXPECT_EQ(again.integer("count", 0, 10), 8);
    unsetenv("SAILTILLER_COUNT");
    unsetenv("SAILTILLER_CONFIG");
}

TEST_F(settings_file, faults_name_the_setting_or_the_file)
{
    this->write("name=a\nnonsense=1\n");
    program_settings flags = make_settings();
    try {
        flags.parse({"--config", this->path});
        FAIL();
    } catch (const settings_stop& stop) {
        EXPECT_NE(stop.text.find("nonsense"), std::string::npos) << stop.text;
    }
    program_settings other = make_settings();
    try {
        other.parse({"--config", "/no/such/file"});
        FAIL();
    } catch (const settings_stop& stop) {
        EXPECT_NE(stop.text.find("/no/such/file"), std::string::npos) << stop.text;
        EXPECT_EQ(stop.exit_code, exit_bad_usage);
    }
}

TEST(program_settings, numbers_may_have_fractions)
{
    program_settings flags = make_settings();
    flags.parse({"--name", "0.25", "--count", "x"});
    EXPECT_EQ(flags.number("name", 0, 1), 0.25);
    flags.number("count", 0, 1);
    EXPECT_THROW(flags.require_sound(), settings_stop);
}

TEST(program_settings, times_are_milliseconds_or_seconds_with_fractions)
{
    const std::vector<std::pair<std::string, duration>> times = {{"2000", std::chrono::milliseconds(2000)},
        {"2000.0", std::chrono::milliseconds(2000)}, {"0.5", std::chrono::microseconds(500)},
        {"1e3", std::chrono::seconds(1)}, {"7.5s", std::chrono::milliseconds(7500)},
        {"8s", std::chrono::seconds(8)}, {"0s", duration::zero()}, {"1e1s", std::chrono::seconds(10)}};
    for (const auto& [text, expected] : times) {
        program_settings flags = make_settings();
        flags.parse({"--name", "a", "--count", text});
        EXPECT_EQ(flags.milliseconds("count", 0, 10'000), expected) << text;
        EXPECT_NO_THROW(flags.require_sound()) << text;
    }
}

TEST(program_settings, whole_numbers_may_be_written_with_a_point_or_an_exponent)
{
    for (const char* text : {"2000", "2000.0", "2e3"}) {
        program_settings flags = make_settings();
        flags.parse({"--name", "a", "--count", text});
        EXPECT_EQ(flags.integer("count", 0, 10'000), 2000) << text;
        EXPECT_NO_THROW(flags.require_sound());
    }
}

TEST(program_settings, an_unusable_number_of_a_flag_or_a_variable_is_a_fault)
{
    for (const char* text : {"soon", "", "s", "nan", "inf", "-1", "10001", "1e400", "2 s", "0.5"}) {
        const auto read = [text] {
            program_settings flags = make_settings();
            flags.parse({"--name", "a", "--count=" + std::string(text)});
            flags.integer("count", 0, 10'000);
            EXPECT_TRUE(flags.replaced().empty()) << text;
            flags.require_sound();
        };
        EXPECT_THROW(read(), settings_stop) << text;
    }
    setenv("SAILTILLER_COUNT", "soon", 1);
    program_settings flags = make_settings();
    flags.parse({"--name", "a"});
    flags.milliseconds("count", 0, 10);
    EXPECT_THROW(flags.require_sound(), settings_stop);
    unsetenv("SAILTILLER_COUNT");
}

// Guards against programs that don't start again because the platform wrote a figure that they can't use.
TEST_F(settings_file, an_unusable_number_is_replaced_and_told)
{
    const std::vector<std::pair<std::string, int>> replacements = {
        {"soon", 5}, {"", 5}, {"s", 5}, {"nan", 5}, {"1e400", 5}, {"-1", 1}, {"0", 1}, {"1e300", 10}};
    for (const auto& [text, expected] : replacements) {
        this->write("name=a\ncount=" + text + "\n");
        program_settings flags = make_settings();
        flags.parse({"--config", this->path});
        EXPECT_EQ(flags.milliseconds("count", 1, 10), std::chrono::milliseconds(expected)) << text;
        EXPECT_NO_THROW(flags.require_sound()) << text;
        ASSERT_EQ(flags.replaced().size(), 1U) << text;
        EXPECT_EQ(flags.replaced()[0].name, "count");
        const std::string& reason = flags.replaced()[0].reason;
        for (const std::string& part :
            {"'" + text + "'", std::string("from 1 to 10"), std::to_string(expected)}) {
            EXPECT_NE(reason.find(part), std::string::npos) << part << " in " << reason;
        }
    }
}

TEST_F(settings_file, an_unusable_number_gives_way_to_the_one_that_was_used_before)
{
    this->write("name=a\ncount=7.5s\n");
    program_settings first = make_settings();
    first.parse({"--config", this->path});
    EXPECT_EQ(first.milliseconds("count", 0, 10'000), std::chrono::milliseconds(7500));
    for (const char* text : {"soon", "1e300"}) {
        this->write("name=a\ncount=" + std::string(text) + "\n");
        program_settings again = make_settings();
        again.set_replacements(first.used_texts());
        again.parse({"--config", this->path});
        EXPECT_EQ(again.milliseconds("count", 0, 10'000), std::chrono::milliseconds(7500)) << text;
        EXPECT_EQ(again.replaced().size(), 1U);
        EXPECT_EQ(again.used_texts(), first.used_texts());
    }
}

TEST(program_settings, unknown_flags_and_help_stop_the_program)
{
    program_settings flags = make_settings();
    EXPECT_THROW(flags.parse({"--colour", "red"}), settings_stop);
    try {
        make_settings().parse({"--help"});
        FAIL();
    } catch (const settings_stop& stop) {
        EXPECT_EQ(stop.exit_code, exit_ok);
        EXPECT_NE(stop.text.find("SAILTILLER_NAME"), std::string::npos);
    }
}

TEST(program_settings, lists_come_from_several_flags_or_one_variable)
{
    program_settings flags = make_settings();
    flags.parse({"--name", "a", "--key", "x", "--key", "y,z"});
    EXPECT_EQ(flags.texts("key"), (std::vector<std::string>{"x", "y", "z"}));
}

} // namespace

} // namespace sailtiller
