#pragma once

#include <CLI/CLI.hpp>
#include <core/Time.h>
#include <settings/CommonSettings.h>
#include <settings/SettingsParseResult.h>
#include <string>
#include <vector>

namespace masticwall {

/**
 * Parses the command line with CLI11. Every option can also be set by an environment
 * variable. All invalid values are reported together, instead of only the first. The add
 * functions keep a reference to `aValue`, which parse() assigns. Not thread-safe.
 */
class SettingsParser
{
public:
  /** `aName` is the program's; --help prints `aDescription`. */
  SettingsParser(std::string aName, std::string aDescription);

  void addCommon(CommonSettings& aSettings);
  void addText(const std::string& aName, std::string& aValue, const std::string& aHelp);
  void addIpAddress(const std::string& aName,
                    std::string& aValue,
                    const std::string& aHelp);
  void addUrl(const std::string& aName, std::string& aValue, const std::string& aHelp);
  void addPort(const std::string& aName, std::uint16_t& aValue, const std::string& aHelp);
  void addInteger(const std::string& aName,
                  std::int64_t& aValue,
                  std::int64_t aMin,
                  std::int64_t aMax,
                  const std::string& aHelp);

  /** Parses the arguments. False if the process must exit with exitCode(). */
  bool parse(int aArgc, const char* const* aArgv);

  int exitCode() const { return mExitCode; }

  /** For standard output if exitCode() is 0, else for standard error. */
  const std::string& output() const { return mOutput; }

private:
  /** An option's text and the function that converts and assigns it. */
  struct Option
  {
    std::string name;
    std::string text;
    CLI::Option* cliOption = nullptr; ///< owned by mApp

    /** Returns an empty string, or a description of a valid text if it is invalid. */
    std::function<std::string(const std::string&)> assign;
  };

  void add(const std::string& aName,
           const std::string& aDefault,
           const std::string& aHelp,
           std::function<std::string(const std::string&)> aAssign);
  void assignValues();

  CLI::App mApp;
  std::string mName;
  std::vector<std::unique_ptr<Option>> mOptions;
  bool mIsCheckOnly = false;
  int mExitCode = 0;
  std::string mOutput;
};

} // namespace masticwall
