#include "CborReader.h"
#include "CborWriter.h"
#include <messages/FeedRequest.h>

namespace masticwall {

QByteArray
encode(const FeedRequest& aRequest)
{
  CborWriter writer;
  writer.number(Field::Version, aRequest.version);
  writer.number(Field::Revision, aRequest.revision);
  writer.number(Field::ReadSequence, aRequest.readSequence);
  writer.flag(Field::MayWait, aRequest.mayWait);
  return writer.bytes();
}

Result<FeedRequest>
decodeFeedRequest(const QByteArray& aBytes)
{
  CborReader reader(aBytes);
  FeedRequest request;
  request.version = reader.number(Field::Version);
  request.revision = reader.number(Field::Revision);
  request.readSequence = reader.number(Field::ReadSequence);
  request.mayWait = reader.flag(Field::MayWait);
  if (reader.error()) {
    return reader.error();
  }
  return request;
}

} // namespace masticwall
