// SPDX-License-Identifier: Apache-2.0
#include "commands.h"

#include <base/random.h>
#include <bundle/digest.h>
#include <bundle/signing.h>
#include <runtime/textfile.h>

#include <iostream>

namespace sailtiller {

namespace {

const std::string generate_usage = "sailtiller key generate FILE";
const std::string show_usage = "sailtiller key show FILE";
const std::string caller_usage = "sailtiller key caller";

int generate_key(const std::vector<std::string>& arguments)
{
    program_settings flags = make_command_settings(generate_usage);
    flags.parse(arguments);
    const std::string path = require_argument(flags, "the file for the private key");
    const private_key key = private_key::generate();
    write_new_text_file(path, key.to_pem(), true);
    write_new_text_file(path + ".pub", key.public_pem(), false);
    std::cout << "key " << key.public_part().id() << ": private in " << path << ", public in " << path
              << ".pub\n";
    return exit_ok;
}

int show_key(const std::vector<std::string>& arguments)
{
    program_settings flags = make_command_settings(show_usage);
    flags.parse(arguments);
    const std::string path = require_argument(flags, "a file with a public key");
    std::cout << public_key::from_pem(read_text_file(path), path).id() << "\n";
    return exit_ok;
}

int make_caller_key(const std::vector<std::string>& arguments)
{
    program_settings flags = make_command_settings(caller_usage);
    flags.parse(arguments);
    const std::string key = "st-" + make_random_id(make_system_random());
    std::cout << "key    " << key << "\ndigest " << key_digest_of(key) << "\n";
    return exit_ok;
}

} // namespace

std::vector<command> key_commands()
{
    return {
        {{"key", "generate"}, generate_usage, "makes an operator's key pair", &generate_key},
        {{"key", "show"}, show_usage, "checks a public key and tells its id", &show_key},
        {{"key", "caller"}, caller_usage, "makes a caller's key and the digest for the bundle",
            &make_caller_key},
    };
}

} // namespace sailtiller
