#include "ControlState.h"
#include <QJsonArray>

namespace masticwall {

namespace {

QString
toText(const std::string& aText)
{
  return QString::fromStdString(aText);
}

QJsonArray
dumpSections(const ConfigState& aState)
{
  QJsonArray list;
  for (const auto& [key, section] : aState.sections) {
    list.append(
      QJsonObject{ { QStringLiteral("preset"), toText(key.preset) },
                   { QStringLiteral("section"), toText(key.section) },
                   { QStringLiteral("version"), static_cast<qint64>(section.version) } });
  }
  return list;
}

QJsonArray
dumpVms(const ControlTables& aTables)
{
  QJsonArray list;
  for (const auto& it : aTables.membership.current()) {
    list.append(QJsonObject{ { QStringLiteral("name"), toText(it.name) },
                             { QStringLiteral("service"), toText(it.service) },
                             { QStringLiteral("region"), toText(it.region) },
                             { QStringLiteral("leaving"), it.leaving } });
  }
  return list;
}

void
addCounter(std::string& aText, const std::string& aName, std::uint64_t aValue)
{
  aText += "# TYPE " + aName + " counter\n";
  aText += aName + " " + std::to_string(aValue) + "\n";
}

} // namespace

QJsonObject
dumpState(const ControlTables& aTables)
{
  const auto state = aTables.config.state();
  const auto preset = aTables.presets.current();
  return QJsonObject{
    { QStringLiteral("process"), QStringLiteral("control") },
    { QStringLiteral("vm"), toText(aTables.settings.common.vm) },
    { QStringLiteral("leaving"), aTables.isLeaving.load() },
    { QStringLiteral("preset"), preset == nullptr ? QString() : toText(preset->name) },
    { QStringLiteral("version"),
      preset == nullptr ? 0 : static_cast<qint64>(preset->version) },
    { QStringLiteral("configVersion"), static_cast<qint64>(state.version) },
    { QStringLiteral("logReachable"), aTables.isLogReachable.load() },
    { QStringLiteral("claimsReady"), aTables.areClaimsReady.load() },
    { QStringLiteral("claims"), static_cast<qint64>(aTables.claims.size()) },
    { QStringLiteral("unsettledClaims"),
      static_cast<qint64>(aTables.unsettledClaims.load()) },
    { QStringLiteral("probes"), static_cast<qint64>(aTables.probes.load()) },
    { QStringLiteral("appends"), static_cast<qint64>(aTables.appends.load()) },
    { QStringLiteral("sections"), dumpSections(state) },
    { QStringLiteral("vms"), dumpVms(aTables) },
  };
}

std::string
dumpMetrics(const ControlTables& aTables)
{
  std::string text;
  addCounter(text, "masticwall_probes_total", aTables.probes);
  addCounter(text, "masticwall_appends_total", aTables.appends);
  text += "# TYPE masticwall_claims gauge\nmasticwall_claims " +
          std::to_string(aTables.claims.size()) + "\n";
  return text;
}

} // namespace masticwall
