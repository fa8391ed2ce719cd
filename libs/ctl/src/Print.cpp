#include "Print.h"
#include "CtlError.h"
#include <QJsonDocument>
#include <iostream>

namespace masticwall {

QString
toText(std::string_view aText)
{
  return QString::fromUtf8(aText.data(), static_cast<qsizetype>(aText.size()));
}

void
printJson(const QJsonObject& aObject)
{
  std::cout << QJsonDocument(aObject).toJson(QJsonDocument::Indented).toStdString();
}

CtlExitCode
printError(const CtlSettings& aSettings, const std::error_code& aError)
{
  const auto code = exitCodeOf(static_cast<CtlError>(aError.value()));
  if (aSettings.isJson) {
    printJson({ { QStringLiteral("error"), toText(aError.message()) },
                { QStringLiteral("exit"), toText(nameOf(code)) } });
  }
  std::cerr << "masticwallctl: " << aError.message() << '\n';
  return code;
}

} // namespace masticwall
