#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <limits>
#include <messages/MessageError.h>
#include <messages/VmListMessage.h>

namespace masticwall {

namespace {

std::string
textOf(const QJsonObject& aObject, QLatin1String aKey)
{
  return aObject[aKey].toString().toStdString();
}

std::uint16_t
portOf(const QJsonObject& aObject, QLatin1String aKey)
{
  const auto port = aObject[aKey].toInt();
  const bool isInRange = port > 0 && port <= std::numeric_limits<std::uint16_t>::max();
  return isInRange ? static_cast<std::uint16_t>(port) : std::uint16_t{ 0 };
}

Result<Vm>
toVm(const QJsonObject& aObject)
{
  const auto role = fromName<VmRole>(textOf(aObject, QLatin1String("role")));
  if (!role.has_value()) {
    return MessageError::UnknownName;
  }
  Vm vm;
  vm.name = textOf(aObject, QLatin1String("name"));
  vm.role = *role;
  vm.region = textOf(aObject, QLatin1String("region"));
  vm.dataCentre = textOf(aObject, QLatin1String("data_centre"));
  vm.service = textOf(aObject, QLatin1String("service"));
  vm.host = textOf(aObject, QLatin1String("host"));
  vm.port = portOf(aObject, QLatin1String("port"));
  vm.controlPort = portOf(aObject, QLatin1String("control_port"));
  vm.operatorPort = portOf(aObject, QLatin1String("operator_port"));
  vm.instance = textOf(aObject, QLatin1String("instance"));
  vm.leaving = aObject[QLatin1String("leaving")].toBool();
  if (vm.name.empty() || vm.host.empty() || vm.port == 0) {
    return MessageError::FieldMissing;
  }
  return vm;
}

} // namespace

Result<VmList>
parseVmList(const QByteArray& aJson)
{
  const auto document = QJsonDocument::fromJson(aJson);
  if (!document.object()[QLatin1String("vms")].isArray()) {
    return MessageError::Malformed;
  }
  VmList list;
  for (const auto& it : document.object()[QLatin1String("vms")].toArray()) {
    BOOST_OUTCOME_TRY(vm, toVm(it.toObject()));
    list.push_back(std::move(vm));
  }
  return list;
}

} // namespace masticwall
