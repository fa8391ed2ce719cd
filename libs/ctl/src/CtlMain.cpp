#include "Commands.h"
#include <CLI/CLI.hpp>
#include <ctl/CtlMain.h>

namespace masticwall {

namespace {

constexpr const char* kExitCodes =
  "Exit codes: 0 done; 1 the platform can't be reached; 2 wrong input; 3 another "
  "operator was first, nothing changed; 4 some VMs did not answer or are behind.";

void
addOptions(CLI::App& aApp, CtlSettings& aSettings)
{
  aApp.add_option("--log-url", aSettings.logUrl, "The platform's log service.")
    ->envname("MASTICWALL_LOG_URL")
    ->capture_default_str();
  aApp.add_option("--vm-list-url", aSettings.vmListUrl, "The platform's VM list.")
    ->envname("MASTICWALL_VM_LIST_URL")
    ->capture_default_str();
  aApp.add_option("--timeout-ms", aSettings.timeoutMs, "Milliseconds to try for.")
    ->envname("MASTICWALL_TIMEOUT_MS")
    ->check(CLI::Range(1, 3'600'000))
    ->capture_default_str();
  aApp.add_flag("--json", aSettings.isJson, "Print JSON, for scripts.");
}

/** A subcommand of the command line and the function that runs it. */
struct Command
{
  CLI::App* app = nullptr;
  std::function<CtlExitCode()> run;
};

/**
 * Adds all subcommands. Parsing sets `aText` to the file, preset, VM or request id of the
 * subcommand, and `aFiles` and `aVersion` to the log files of explain and the version of
 * wait.
 */
std::vector<Command>
addCommands(CLI::App& aApp,
            const CtlSettings& aSettings,
            std::string& aText,
            std::vector<std::string>& aFiles,
            std::uint64_t& aVersion)
{
  using namespace commands;
  const auto add =
    [&](const char* aName, const char* aHelp, std::function<CtlExitCode()> aRun) {
      return Command{ aApp.add_subcommand(aName, aHelp), std::move(aRun) };
    };
  const auto addWithText =
    [&](const char* aName,
        const char* aArgument,
        const char* aHelp,
        CtlExitCode (*aRun)(const CtlSettings&, const std::string&)) {
      auto command = add(aName, aHelp, [&, aRun] { return aRun(aSettings, aText); });
      command.app->add_option(aArgument, aText)->required();
      return command;
    };
  std::vector<Command> list{
    addWithText("check", "FILE", "Validate a preset file; publishes nothing.", check),
    addWithText(
      "publish", "FILE", "Publish a preset; does not put it in force.", publish),
    addWithText("switch", "PRESET", "Put a published preset in force.", switchTo),
    add("presets", "List the published presets.", [&] { return presets(aSettings); }),
    add("history", "List the records of the log.", [&] { return history(aSettings); }),
    add("status", "Show every VM's version in force.", [&] { return status(aSettings); }),
    add("wait",
        "Wait until every VM has a version in force.",
        [&] { return wait(aSettings, aVersion); }),
    addWithText("state", "VM", "Print a VM's state dump.", state),
    addWithText("drain", "VM", "Ask a VM to leave.", drain),
    add("explain",
        "Print what the logs say of a request.",
        [&] { return explain(aSettings, aText, aFiles); }),
  };
  for (auto& it : list) {
    if (it.app->get_name() == "wait") {
      it.app->add_option("VERSION", aVersion)->required();
    }
    if (it.app->get_name() == "explain") {
      it.app->add_option("ID", aText, "The request's id.")->required();
      it.app->add_option("FILE", aFiles, "Logs of entries or gateways.")->required();
    }
    it.app->fallthrough();
  }
  return list;
}

} // namespace

int
runCtl(int aArgc, const char* const* aArgv)
{
  CLI::App app("Publishes and switches presets of masticwall, and shows its VMs.",
               "masticwallctl");
  app.set_version_flag("--version", "masticwallctl " MASTICWALL_VERSION);
  app.footer(kExitCodes);
  app.require_subcommand(1);
  CtlSettings settings;
  std::string text;
  std::vector<std::string> files;
  std::uint64_t version = 0;
  addOptions(app, settings);
  const auto list = addCommands(app, settings, text, files, version);
  try {
    app.parse(aArgc, aArgv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : static_cast<int>(CtlExitCode::WrongInput);
  }
  for (const auto& it : list) {
    if (it.app->parsed()) {
      return static_cast<int>(it.run());
    }
  }
  return static_cast<int>(CtlExitCode::WrongInput);
}

} // namespace masticwall
