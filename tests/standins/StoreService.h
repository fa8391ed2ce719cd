#pragma once

#include <http/HttpListener.h>
#include <map>

namespace masticwall::standin {

/**
 * The platform's store, as far as masticwall uses it: keyed topics, of which the newest
 * record of each key is kept. POST /standin?name=value makes it hang or refuse, and
 * answers with the number of calls so far. Calls with "operator" in the query come
 * through all the same. "save" keeps a copy of the topics, and "restore" brings it back,
 * after which the era in all its responses is higher by one.
 */
class StoreService
{
public:
  void handle(const http::Request& aRequest, const http::ResponderPtr& aResponder);

private:
  struct Record
  {
    QByteArray value;
    std::uint64_t offset = 0;
  };
  struct Topic
  {
    std::map<std::string, Record> newest; ///< by key
    std::uint64_t end = 0;
  };

  http::Response answer(const http::Request& aRequest);
  void change(const http::Request& aRequest);
  http::Response append(const std::string& aTopic, const std::string& aBody);
  http::Response newest(const std::string& aTopic);

  std::map<std::string, Topic> mTopics;
  std::map<std::string, Topic> mSavedTopics;
  int mEra = 1;
  std::string mEraText; ///< stated instead of mEra, unless empty
  std::uint64_t mCalls = 0;
  bool mIsHanging = false;
  bool mIsRefusing = false;
};

} // namespace masticwall::standin
