#include "CborReader.h"
#include "CborWriter.h"
#include <messages/OrderReport.h>

namespace masticwall {

QByteArray
encode(const OrderReport& aReport)
{
  QCborArray headers; // names and values alternate
  for (const auto& it : aReport.response.headers) {
    headers.append(QString::fromStdString(it.name));
    headers.append(QString::fromStdString(it.value));
  }
  CborWriter writer;
  writer.name(Field::State, aReport.state);
  writer.number(Field::Status, static_cast<std::uint64_t>(aReport.response.status));
  writer.put(Field::Headers, headers);
  writer.put(Field::Body, QByteArray::fromStdString(aReport.response.body));
  return writer.bytes();
}

Result<OrderReport>
decodeOrderReport(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  OrderReport report;
  report.state = reader.name<OrderState>(Field::State);
  const auto status =
    http::Status::fromCode(static_cast<std::int64_t>(reader.number(Field::Status)));
  const auto headers = reader.array(Field::Headers);
  for (qsizetype i = 0; i + 1 < headers.size(); i += 2) {
    report.response.headers.push_back(
      { headers[i].toString().toStdString(), headers[i + 1].toString().toStdString() });
  }
  report.response.body = reader.bytes(Field::Body).toStdString();
  if (reader.error()) {
    return reader.error();
  }
  if (status.has_error()) {
    return MessageError::Malformed;
  }
  report.response.status = status.value();
  return report;
}

} // namespace masticwall
