#pragma once

#include <QHostAddress>
#include <QString>
#include <QStringList>

namespace masticwall::standin {

/** The flags of a stand-in: "--name value" pairs. */
class Options
{
public:
  explicit Options(const QStringList& aArguments);

  QString text(const QString& aName, const QString& aDefault = {}) const;
  int number(const QString& aName, int aDefault) const;
  QHostAddress host() const;
  quint16 port() const;

private:
  QStringList mArguments;
};

} // namespace masticwall::standin
