/// \file
/// vanillahill-record: prints the first log record of a settings file, for scripts that fill the
/// platform stand-in without an operator.
#include "vanillahill/config/record.hpp"
#include "vanillahill/settings/load.hpp"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int Count, char **Values) {
  using namespace vanillahill;
  CLI::App App{"Prints the first log record of a settings file", "vanillahill-record"};
  config::Change First{.m_File = "base", .m_Version = 1, .m_Operator = "script"};
  std::string Path;
  App.add_option("FILE", First.m_File, "base or overlay/SITE")->required();
  App.add_option("PATH", Path, "JSON file")->required();
  CLI11_PARSE(App, Count, Values);
  const Result<std::string> Text = settings::readText(Path);
  if (!Text) {
    std::cerr << toString(Text.error()) << "\n";
    return EXIT_FAILURE;
  }
  const std::optional<std::string> Content = config::canonicalJson(*Text);
  if (!Content) {
    std::cerr << Path << ": not JSON\n";
    return EXIT_FAILURE;
  }
  First.m_Content = *Content;
  First.m_ChangeId = "first-" + First.m_File.substr(First.m_File.rfind('/') + 1);
  std::cout << config::encode(First);
  return EXIT_SUCCESS;
}
