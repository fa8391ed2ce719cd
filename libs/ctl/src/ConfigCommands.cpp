#include "Commands.h"
#include "ConfigSession.h"
#include "CtlError.h"
#include "Print.h"
#include <QFile>
#include <iostream>
#include <set>

// The commands that read or change the configuration on the log.
namespace masticwall::commands {

namespace {

Result<std::string>
readFile(const std::string& aFile)
{
  QFile file(QString::fromStdString(aFile));
  if (!file.open(QIODevice::ReadOnly)) {
    return CtlError::FileUnreadable;
  }
  return file.readAll().toStdString();
}

void
printProblems(const CtlSettings& aSettings,
              const std::string& aFile,
              const std::vector<PresetProblem>& aProblems)
{
  QJsonArray list;
  for (const auto& it : aProblems) {
    if (aSettings.isJson) {
      list.append(QJsonObject{ { QStringLiteral("key"), toText(it.keyPath) },
                               { QStringLiteral("line"), static_cast<qint64>(it.line) },
                               { QStringLiteral("expected"), toText(it.expected) } });
    } else {
      std::cerr << aFile << ':' << it.line << ": " << it.keyPath << ": expected "
                << it.expected << '\n';
    }
  }
  if (aSettings.isJson) {
    printJson({ { QStringLiteral("problems"), list } });
  }
}

/**
 * Reads a preset file, parses it into `aParse` and returns its text. Prints the problems
 * found in it.
 */
Result<std::string>
readPreset(const CtlSettings& aSettings,
           const std::string& aFile,
           PresetParseResult& aParse)
{
  BOOST_OUTCOME_TRY(text, readFile(aFile));
  aParse = parsePreset(text);
  if (!aParse.isValid()) {
    printProblems(aSettings, aFile, aParse.problems);
    return CtlError::PresetInvalid;
  }
  return text;
}

/** Prints `aObject` with --json, else `aText`. */
void
printResult(const CtlSettings& aSettings,
            const QJsonObject& aObject,
            const std::string& aText)
{
  if (aSettings.isJson) {
    printJson(aObject);
  } else {
    std::cout << aText << '\n';
  }
}

} // namespace

CtlExitCode
check(const CtlSettings& aSettings, const std::string& aFile)
{
  PresetParseResult parse;
  const auto text = readPreset(aSettings, aFile, parse);
  if (text.has_error()) {
    return printError(aSettings, text.error());
  }
  printResult(aSettings,
              { { QStringLiteral("valid"), true } },
              aFile + ": valid preset \"" + parse.preset.name + "\", " +
                std::to_string(parse.preset.services.size()) + " services, " +
                std::to_string(parse.preset.routes.size()) + " routes");
  return CtlExitCode::Done;
}

CtlExitCode
publish(const CtlSettings& aSettings, const std::string& aFile)
{
  PresetParseResult parse;
  const auto text = readPreset(aSettings, aFile, parse);
  if (text.has_error()) {
    return printError(aSettings, text.error());
  }
  ConfigSession session(aSettings);
  if (const auto loaded = session.load(); loaded.has_error()) {
    return printError(aSettings, loaded.error());
  }
  const auto n = session.publish(parse.preset.name, splitPreset(text.value()));
  if (n.has_error()) {
    return printError(aSettings, n.error());
  }
  printResult(
    aSettings,
    { { QStringLiteral("preset"), toText(parse.preset.name) },
      { QStringLiteral("sections"), static_cast<qint64>(n.value()) },
      { QStringLiteral("version"), static_cast<qint64>(session.state().version) } },
    "published " + std::to_string(n.value()) + " sections of \"" + parse.preset.name +
      "\", version " + std::to_string(session.state().version));
  return CtlExitCode::Done;
}

CtlExitCode
switchTo(const CtlSettings& aSettings, const std::string& aPreset)
{
  ConfigSession session(aSettings);
  if (const auto loaded = session.load(); loaded.has_error()) {
    return printError(aSettings, loaded.error());
  }
  const auto version = session.switchTo(aPreset);
  if (version.has_error()) {
    return printError(aSettings, version.error());
  }
  printResult(aSettings,
              { { QStringLiteral("preset"), toText(aPreset) },
                { QStringLiteral("version"), static_cast<qint64>(version.value()) } },
              "switched to \"" + aPreset + "\", version " +
                std::to_string(version.value()));
  return CtlExitCode::Done;
}

CtlExitCode
presets(const CtlSettings& aSettings)
{
  ConfigSession session(aSettings);
  if (const auto loaded = session.load(); loaded.has_error()) {
    return printError(aSettings, loaded.error());
  }
  const auto& state = session.state();
  std::set<std::string> names;
  for (const auto& [key, section] : state.sections) {
    names.insert(key.preset);
  }
  QJsonArray list;
  for (const auto& it : names) {
    list.append(toText(it));
    if (!aSettings.isJson) {
      std::cout << it << (it == state.activePreset ? " (in force)" : "") << '\n';
    }
  }
  if (aSettings.isJson) {
    printJson(
      { { QStringLiteral("presets"), list },
        { QStringLiteral("inForce"), toText(state.activePreset) },
        { QStringLiteral("version"), static_cast<qint64>(state.activeVersion()) } });
  }
  return CtlExitCode::Done;
}

CtlExitCode
history(const CtlSettings& aSettings)
{
  ConfigSession session(aSettings);
  if (const auto loaded = session.load(); loaded.has_error()) {
    return printError(aSettings, loaded.error());
  }
  QJsonArray list;
  for (const auto& it : session.history()) {
    const auto operation = nameOf(it.record.operation);
    const auto verdict = nameOf(it.verdict);
    if (aSettings.isJson) {
      list.append(
        QJsonObject{ { QStringLiteral("version"), static_cast<qint64>(it.version()) },
                     { QStringLiteral("operation"), toText(operation) },
                     { QStringLiteral("preset"), toText(it.record.key.preset) },
                     { QStringLiteral("section"), toText(it.record.key.section) },
                     { QStringLiteral("verdict"), toText(verdict) } });
    } else {
      std::cout << it.version() << ' ' << operation << ' ' << it.record.key.preset << ' '
                << it.record.key.section << ' ' << verdict << '\n';
    }
  }
  if (aSettings.isJson) {
    printJson({ { QStringLiteral("records"), list } });
  }
  return CtlExitCode::Done;
}

} // namespace masticwall::commands
