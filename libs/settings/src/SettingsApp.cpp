#include "SettingsApp.h"
#include <QHostAddress>
#include <QUrl>
#include <charconv>

namespace masticwall {

namespace {

constexpr std::int64_t kMostWindowMs = 30LL * 24 * 3600 * 1000;

std::string
variableOf(const std::string& aName)
{
  std::string name = "MASTICWALL_";
  for (const char it : aName) {
    name += it == '-' ? '_' : static_cast<char>(std::toupper(it));
  }
  return name;
}

std::string
assignInteger(const std::string& aText,
              std::int64_t aLeast,
              std::int64_t aMost,
              std::int64_t& aValue)
{
  std::int64_t n = 0;
  const auto* const end = aText.data() + aText.size();
  const auto [last, ec] = std::from_chars(aText.data(), end, n);
  if (ec != std::errc() || last != end || n < aLeast || n > aMost) {
    return "an integer from " + std::to_string(aLeast) + " to " + std::to_string(aMost);
  }
  aValue = n;
  return {};
}

} // namespace

SettingsApp::SettingsApp(std::string aName, std::string aPurpose)
  : mApp(std::move(aPurpose), aName)
  , mName(std::move(aName))
{
  mApp.set_version_flag("--version", mName + " " MASTICWALL_VERSION);
  mApp.add_flag("--check", mIsCheck, "Validate the settings and exit.");
  mApp.get_formatter()->column_width(40);
}

void
SettingsApp::addCommon(CommonSettings& aSettings)
{
  addText("vm", aSettings.vm, "This VM's name on the VM list.");
  addText("region", aSettings.region, "This VM's region.");
  addText("data-centre", aSettings.dataCentre, "This VM's data centre.");
  addIpNumber("host", aSettings.host, "This VM's IP number, to listen on.");
  addText(
    "instance", aSettings.instance, "Names this start of the VM, as the VM list does.");
  addInteger("order-window-ms",
             aSettings.orderWindowMs,
             1000,
             kMostWindowMs,
             "Milliseconds that an order's key is remembered; the same on every VM, and "
             "below the log's retention.");
}

void
SettingsApp::addText(const std::string& aName,
                     std::string& aValue,
                     const std::string& aHelp)
{
  add(aName, aValue, aHelp, [&aValue](const std::string& aText) -> std::string {
    if (aText.empty()) {
      return "a non-empty text";
    }
    aValue = aText;
    return {};
  });
}

void
SettingsApp::addIpNumber(const std::string& aName,
                         std::string& aValue,
                         const std::string& aHelp)
{
  add(aName, aValue, aHelp, [&aValue](const std::string& aText) -> std::string {
    QHostAddress address;
    if (!address.setAddress(QString::fromStdString(aText))) {
      return "an IP number";
    }
    aValue = aText;
    return {};
  });
}

void
SettingsApp::addUrl(const std::string& aName,
                    std::string& aValue,
                    const std::string& aHelp)
{
  add(aName, aValue, aHelp, [&aValue](const std::string& aText) -> std::string {
    const QUrl url(QString::fromStdString(aText), QUrl::StrictMode);
    if (!url.isValid() || url.scheme() != QLatin1String("http") || url.host().isEmpty()) {
      return "a URL of the form http://IP:PORT";
    }
    aValue = aText;
    return {};
  });
}

void
SettingsApp::addPort(const std::string& aName,
                     std::uint16_t& aValue,
                     const std::string& aHelp)
{
  add(aName,
      std::to_string(aValue),
      aHelp,
      [&aValue](const std::string& aText) -> std::string {
        std::int64_t n = 0;
        auto expected = assignInteger(aText, 1, 65535, n);
        if (expected.empty()) {
          aValue = static_cast<std::uint16_t>(n);
        }
        return expected;
      });
}

void
SettingsApp::addInteger(const std::string& aName,
                        std::int64_t& aValue,
                        std::int64_t aLeast,
                        std::int64_t aMost,
                        const std::string& aHelp)
{
  add(aName,
      std::to_string(aValue),
      aHelp,
      [&aValue, aLeast, aMost](const std::string& aText) {
        return assignInteger(aText, aLeast, aMost, aValue);
      });
}

bool
SettingsApp::parse(int aArgc, const char* const* aArgv)
{
  try {
    mApp.parse(aArgc, aArgv);
  } catch (const CLI::ParseError& error) {
    std::ostringstream out;
    std::ostringstream err;
    mExitCode = mApp.exit(error, out, err) == 0 ? 0 : kExitWrongSettings;
    mOutput = out.str() + err.str();
    return false;
  }
  assignAll();
  if (mExitCode == 0 && mIsCheck) {
    mOutput = mName + ": settings are valid\n";
    return false;
  }
  return mExitCode == 0;
}

void
SettingsApp::add(const std::string& aName,
                 const std::string& aDefault,
                 const std::string& aHelp,
                 std::function<std::string(const std::string&)> aAssign)
{
  auto pending = std::make_unique<Pending>();
  pending->name = aName;
  pending->text = aDefault;
  pending->assign = std::move(aAssign);
  pending->option = mApp.add_option("--" + aName, pending->text, aHelp)
                      ->envname(variableOf(aName))
                      ->capture_default_str();
  mPending.push_back(std::move(pending));
}

void
SettingsApp::assignAll()
{
  for (const auto& it : mPending) {
    const auto expected = it->assign(it->text);
    if (!expected.empty()) {
      mExitCode = kExitWrongSettings;
      mOutput += mName + ": --" + it->name + " (" + variableOf(it->name) + ") is \"" +
                 it->text + "\"; expected " + expected + "\n";
    }
  }
}

} // namespace masticwall
