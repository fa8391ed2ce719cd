#include "StateDump.h"
#include <QJsonArray>

namespace masticwall {

namespace {

QString
toQString(std::string_view aText)
{
  return QString::fromUtf8(aText.data(), static_cast<qsizetype>(aText.size()));
}

QJsonArray
dumpUpstreams(const EntryTables& aTables)
{
  const Instant now = std::chrono::steady_clock::now();
  QJsonArray list;
  for (const auto& it : aTables.upstreams.snapshot()) {
    list.append(QJsonObject{
      { QStringLiteral("name"), toQString(it.address.name) },
      { QStringLiteral("service"), toQString(it.address.service) },
      { QStringLiteral("region"), toQString(it.address.region) },
      { QStringLiteral("inFlight"), it.inFlight },
      { QStringLiteral("reportedInUse"), it.load.inUse },
      { QStringLiteral("reportedQueued"), it.load.queued },
      { QStringLiteral("failuresInARow"), it.failuresInARow },
      { QStringLiteral("leaving"), it.leaving },
      { QStringLiteral("requestLimit"),
        it.requestLimit.has_value() ? QJsonValue(it.requestLimit->perSecond)
                                    : QJsonValue() },
      { QStringLiteral("coldMs"),
        static_cast<qint64>(
          toMilliseconds(std::max(Duration{ 0 }, it.coldUntil - now))) },
      { QStringLiteral("heldOffMs"),
        static_cast<qint64>(
          toMilliseconds(std::max(Duration{ 0 }, it.heldOffUntil - now))) },
    });
  }
  return list;
}

QJsonArray
dumpEvacuated(const EntryTables& aTables)
{
  QJsonArray list;
  for (const auto& it : aTables.membership.evacuated()) {
    list.append(toQString(it));
  }
  return list;
}

QJsonArray
dumpAdmission(const EntryTables& aTables)
{
  QJsonArray list;
  for (const auto& it : aTables.admission.snapshot()) {
    QJsonObject waiting;
    for (const auto& rank : EnumTable<Rank>::kEntries) {
      waiting[toQString(rank.name)] =
        static_cast<qint64>(it.waiting[indexOf(rank.value)]);
    }
    list.append(QJsonObject{ { QStringLiteral("service"), toQString(it.service) },
                             { QStringLiteral("limit"), it.limit },
                             { QStringLiteral("inFlight"), it.inFlight },
                             { QStringLiteral("waiting"), waiting } });
  }
  return list;
}

/** The tenants with the most refusals. */
QJsonArray
dumpQuotas(const EntryTables& aTables)
{
  constexpr std::size_t kMaxTenants = 100;
  QJsonArray list;
  for (const auto& it : aTables.quotas.snapshot(kMaxTenants)) {
    list.append(
      QJsonObject{ { QStringLiteral("tenant"), toQString(it.tenant) },
                   { QStringLiteral("permits"), it.permits },
                   { QStringLiteral("waiting"), static_cast<qint64>(it.waiting) },
                   { QStringLiteral("refused"), static_cast<qint64>(it.refusals) } });
  }
  return list;
}

/** The number of tenants; null if the preset has no list of them, so that calls need no
 * key. */
QJsonValue
dumpTenantCount(const Preset* aPreset)
{
  return aPreset != nullptr && aPreset->tenants.has_value()
           ? QJsonValue(static_cast<qint64>(aPreset->tenants->size()))
           : QJsonValue();
}

QJsonArray
dumpWorkers(const EntryTables& aTables)
{
  QJsonArray list;
  for (const auto& it : aTables.gauges) {
    list.append(QJsonObject{
      { QStringLiteral("calls"), static_cast<qint64>(it.calls) },
      { QStringLiteral("callerConnections"), static_cast<qint64>(it.callerConnections) },
      { QStringLiteral("upstreamConnections"),
        static_cast<qint64>(it.upstreamConnections) } });
  }
  return list;
}

} // namespace

QJsonObject
dumpState(const EntryTables& aTables, bool aIsControlConnected)
{
  const auto preset = aTables.presets.current();
  return QJsonObject{
    { QStringLiteral("process"), QStringLiteral("entry") },
    { QStringLiteral("vm"), toQString(aTables.settings.common.vm) },
    { QStringLiteral("incarnation"), static_cast<qint64>(aTables.incarnation) },
    { QStringLiteral("leaving"), aTables.isLeaving.load() },
    { QStringLiteral("controlConnected"), aIsControlConnected },
    { QStringLiteral("workers"), dumpWorkers(aTables) },
    { QStringLiteral("preset"), preset == nullptr ? QString() : toQString(preset->name) },
    { QStringLiteral("version"),
      preset == nullptr ? 0 : static_cast<qint64>(preset->version) },
    { QStringLiteral("tenants"), dumpTenantCount(preset.get()) },
    { QStringLiteral("orders"), static_cast<qint64>(aTables.orders.size()) },
    { QStringLiteral("evacuated"), dumpEvacuated(aTables) },
    { QStringLiteral("upstreams"), dumpUpstreams(aTables) },
    { QStringLiteral("admission"), dumpAdmission(aTables) },
    { QStringLiteral("quotas"), dumpQuotas(aTables) },
    { QStringLiteral("calls"), aTables.statistics.toJson() },
  };
}

} // namespace masticwall
