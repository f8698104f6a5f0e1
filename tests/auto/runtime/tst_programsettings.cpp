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
