#include "Options.h"

namespace masticwall::standin {

Options::Options(const QStringList& aArguments)
  : mArguments(aArguments)
{
}

QString
Options::text(const QString& aName, const QString& aDefault) const
{
  const auto i = mArguments.indexOf(QStringLiteral("--") + aName);
  return i < 0 || i + 1 >= mArguments.size() ? aDefault : mArguments[i + 1];
}

int
Options::number(const QString& aName, int aDefault) const
{
  return text(aName, QString::number(aDefault)).toInt();
}

QHostAddress
Options::host() const
{
  return QHostAddress(text(QStringLiteral("host"), QStringLiteral("127.0.0.1")));
}

quint16
Options::port() const
{
  return static_cast<quint16>(number(QStringLiteral("port"), 9000));
}

} // namespace masticwall::standin
