// SPDX-License-Identifier: Apache-2.0
#include <runtime/programsettings.h>

#include <cstdlib>
#include <gtest/gtest.h>

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
