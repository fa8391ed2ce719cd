#include "SettingsParser.h"
#include <QHostAddress>
#include <QUrl>
#include <charconv>

namespace masticwall {

namespace {

constexpr std::size_t kHelpColumnWidthChars = 40;
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMinOrderWindowMs = 1000;
constexpr std::int64_t kMaxOrderWindowMs = 30LL * 24 * 3600 * 1000;

std::string
environmentVariable(const std::string& aName)
{
  std::string name = "MASTICWALL_";
  for (const char it : aName) {
    name += it == '-' ? '_' : static_cast<char>(std::toupper(it));
  }
  return name;
}

/**
 * Sets `aValue` and returns an empty string if the text is valid; else returns a
 * description of a valid one.
 */
std::string
parseInteger(const std::string& aText,
             std::int64_t aMin,
             std::int64_t aMax,
             std::int64_t& aValue)
{
  std::int64_t n = 0;
  const auto* const end = aText.data() + aText.size();
  const auto [last, ec] = std::from_chars(aText.data(), end, n);
  if (ec != std::errc() || last != end || n < aMin || n > aMax) {
    return "an integer from " + std::to_string(aMin) + " to " + std::to_string(aMax);
  }
  aValue = n;
  return {};
}

} // namespace

SettingsParser::SettingsParser(std::string aName, std::string aDescription)
  : mApp(std::move(aDescription), aName)
  , mName(std::move(aName))
{
  mApp.set_version_flag("--version", mName + " " MASTICWALL_VERSION);
  mApp.add_flag("--check", mIsCheckOnly, "Validate the settings and exit.");
  mApp.get_formatter()->column_width(kHelpColumnWidthChars);
}

void
SettingsParser::addCommon(CommonSettings& aSettings)
{
  addText("vm", aSettings.vm, "This VM's name on the VM list.");
  addText("region", aSettings.region, "This VM's region.");
  addText("data-centre", aSettings.dataCentre, "This VM's data centre.");
  addIpAddress("host", aSettings.host, "This VM's IP number, to listen on.");
  addText(
    "instance", aSettings.instance, "Names this start of the VM, as the VM list does.");
  addInteger("order-window-ms",
             aSettings.orderWindowMs,
             kMinOrderWindowMs,
             kMaxOrderWindowMs,
             "Milliseconds that an order's key is remembered; the same on every VM, and "
             "below the log's retention.");
}

void
SettingsParser::addText(const std::string& aName,
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
SettingsParser::addIpAddress(const std::string& aName,
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
SettingsParser::addUrl(const std::string& aName,
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
SettingsParser::addPort(const std::string& aName,
                        std::uint16_t& aValue,
                        const std::string& aHelp)
{
  add(aName,
      std::to_string(aValue),
      aHelp,
      [&aValue](const std::string& aText) -> std::string {
        std::int64_t n = 0;
        auto expected = parseInteger(aText, 1, kMaxPort, n);
        if (expected.empty()) {
          aValue = static_cast<std::uint16_t>(n);
        }
        return expected;
      });
}

void
SettingsParser::addInteger(const std::string& aName,
                           std::int64_t& aValue,
                           std::int64_t aMin,
                           std::int64_t aMax,
                           const std::string& aHelp)
{
  add(aName,
      std::to_string(aValue),
      aHelp,
      [&aValue, aMin, aMax](const std::string& aText) {
        return parseInteger(aText, aMin, aMax, aValue);
      });
}

bool
SettingsParser::parse(int aArgc, const char* const* aArgv)
{
  try {
    mApp.parse(aArgc, aArgv);
  } catch (const CLI::ParseError& error) {
    std::ostringstream out;
    std::ostringstream err;
    mExitCode = mApp.exit(error, out, err) == 0 ? 0 : kExitInvalidSettings;
    mOutput = out.str() + err.str();
    return false;
  }
  assignValues();
  if (mExitCode == 0 && mIsCheckOnly) {
    mOutput = mName + ": settings are valid\n";
    return false;
  }
  return mExitCode == 0;
}

void
SettingsParser::add(const std::string& aName,
                    const std::string& aDefault,
                    const std::string& aHelp,
                    std::function<std::string(const std::string&)> aAssign)
{
  auto option = std::make_unique<Option>();
  option->name = aName;
  option->text = aDefault;
  option->assign = std::move(aAssign);
  option->cliOption = mApp.add_option("--" + aName, option->text, aHelp)
                        ->envname(environmentVariable(aName))
                        ->capture_default_str();
  mOptions.push_back(std::move(option));
}

void
SettingsParser::assignValues()
{
  for (const auto& it : mOptions) {
    const auto expected = it->assign(it->text);
    if (!expected.empty()) {
      mExitCode = kExitInvalidSettings;
      mOutput += mName + ": --" + it->name + " (" + environmentVariable(it->name) +
                 ") is \"" + it->text + "\"; expected " + expected + "\n";
    }
  }
}

} // namespace masticwall
