#pragma once

#include <CLI/CLI.hpp>
#include <core/Time.h>
#include <settings/CommonSettings.h>
#include <settings/SettingsParse.h>
#include <string>
#include <vector>

namespace masticwall {

/**
 * A CLI11 application in which every option can also be set by an environment variable,
 * and which collects every wrong value instead of stopping at the first.
 */
class SettingsApp
{
public:
  SettingsApp(std::string aName, std::string aPurpose);

  void addCommon(CommonSettings& aSettings);
  void addText(const std::string& aName, std::string& aValue, const std::string& aHelp);
  void addIpNumber(const std::string& aName,
                   std::string& aValue,
                   const std::string& aHelp);
  void addUrl(const std::string& aName, std::string& aValue, const std::string& aHelp);
  void addPort(const std::string& aName, std::uint16_t& aValue, const std::string& aHelp);
  void addInteger(const std::string& aName,
                  std::int64_t& aValue,
                  std::int64_t aLeast,
                  std::int64_t aMost,
                  const std::string& aHelp);

  /** Reads the arguments. True if the process may start. */
  bool parse(int aArgc, const char* const* aArgv);

  int exitCode() const { return mExitCode; }
  const std::string& output() const { return mOutput; }

private:
  /** An option's text as given, and what turns it into a value. */
  struct Pending
  {
    std::string name;
    std::string text;
    CLI::Option* option = nullptr;
    std::function<std::string(const std::string&)> assign; ///< returns what is expected
  };

  void add(const std::string& aName,
           const std::string& aDefault,
           const std::string& aHelp,
           std::function<std::string(const std::string&)> aAssign);
  void assignAll();

  CLI::App mApp;
  std::string mName;
  std::vector<std::unique_ptr<Pending>> mPending;
  bool mIsCheck = false;
  int mExitCode = 0;
  std::string mOutput;
};

} // namespace masticwall
