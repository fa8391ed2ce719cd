// Stand-ins for the review's scripts: the platform's store, workers and clients, and the
// start and stop of gateways. Plain POSIX sockets and threads; loopback only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <signal.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

/** A script that takes longer is ended with 2. */
constexpr unsigned kMaxSeconds = 117;

inline std::int64_t
nowUs()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline void
sleepMs(double aMs)
{
  if (aMs > 0) {
    std::this_thread::sleep_for(std::chrono::microseconds(std::int64_t(aMs * 1000)));
  }
}

/** record.txt: one line an event, with the milliseconds since the start. */
class Record
{
public:
  static Record& get()
  {
    static Record record;
    return record;
  }
  void open(const std::string& aPath)
  {
    mFile = fopen(aPath.c_str(), "w");
    mStart = nowUs();
  }
  void line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[2048];
    va_list args;
    va_start(args, aFormat);
    vsnprintf(text, sizeof text, aFormat, args);
    va_end(args);
    std::scoped_lock lock(mMutex);
    if (mFile != nullptr) {
      fprintf(mFile, "%9.1f %s\n", double(nowUs() - mStart) / 1000.0, text);
      fflush(mFile);
    }
  }

private:
  std::mutex mMutex;
  FILE* mFile = nullptr;
  std::int64_t mStart = 0;
};

#define RECORD(...) ::review::Record::get().line(__VA_ARGS__)

/** Ends the script with 2: the case couldn't run. */
[[noreturn]] inline void
cannotRun(const std::string& aWhy);

// ---------------------------------------------------------------------------------------
// Sockets

struct Address
{
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in
toSockaddr(const Address& aAddress)
{
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(std::uint16_t(aAddress.port));
  inet_pton(AF_INET, aAddress.ip.c_str(), &address.sin_addr);
  return address;
}

inline int
listenOn(const Address& aAddress, int aBacklog = 1024)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto address = toSockaddr(aAddress);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, aBacklog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/** A port of `aIp` that is free now. */
inline int
freePort(const std::string& aIp)
{
  const int fd = listenOn({ aIp, 0 });
  sockaddr_in address = {};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

/** Connects within `aTimeoutMs`; -1 if that fails. */
inline int
connectTo(const Address& aAddress, int aTimeoutMs)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return -1;
  }
  auto address = toSockaddr(aAddress);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    pollfd it{ fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || poll(&it, 1, aTimeoutMs) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool
sendAll(int aFd, const std::string& aBytes)
{
  std::size_t n = 0;
  while (n < aBytes.size()) {
    const auto sent = send(aFd, aBytes.data() + n, aBytes.size() - n, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    n += std::size_t(sent);
  }
  return true;
}

inline std::string
lower(std::string aText)
{
  for (auto& it : aText) {
    it = char(tolower(static_cast<unsigned char>(it)));
  }
  return aText;
}

/** An HTTP/1.1 message; `first` is its first line. */
struct Message
{
  std::string first;
  std::map<std::string, std::string> headers; ///< names in lower case
  std::string body;

  std::string header(const std::string& aName) const
  {
    const auto it = headers.find(lower(aName));
    return it == headers.end() ? std::string() : it->second;
  }
  std::string word(int aIndex) const
  {
    std::size_t at = 0;
    for (int i = 0; i < aIndex; ++i) {
      at = first.find(' ', at);
      if (at == std::string::npos) {
        return {};
      }
      ++at;
    }
    return first.substr(at, first.find(' ', at) - at);
  }
  std::string method() const { return word(0); }
  std::string target() const { return word(1); }
  std::string path() const { return target().substr(0, target().find('?')); }
  int status() const { return atoi(word(1).c_str()); }
  std::string query(const std::string& aName) const
  {
    const auto text = target();
    auto at = text.find('?');
    while (at != std::string::npos) {
      const auto end = text.find('&', at + 1);
      const auto part =
        text.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (part.rfind(aName + "=", 0) == 0) {
        return part.substr(aName.size() + 1);
      }
      at = end;
    }
    return {};
  }
};

enum class ReadEnd
{
  Whole,
  Closed, ///< an orderly end before a whole message
  Reset,  ///< a reset, or another error of the socket
  Timeout,
};

/** Reads whole messages with a length from a socket. */
class Reader
{
public:
  explicit Reader(int aFd)
    : mFd(aFd)
  {
  }

  ReadEnd read(Message& aMessage, int aTimeoutMs)
  {
    const auto until = nowUs() + std::int64_t(aTimeoutMs) * 1000;
    while (true) {
      if (parse(aMessage)) {
        return ReadEnd::Whole;
      }
      const auto left = (until - nowUs()) / 1000;
      pollfd it{ mFd, POLLIN, 0 };
      const auto n = left < 0 ? 0 : poll(&it, 1, int(left) + 1);
      if (n == 0) {
        return ReadEnd::Timeout;
      }
      char buf[65536];
      const auto size = recv(mFd, buf, sizeof buf, 0);
      if (size == 0) {
        return ReadEnd::Closed;
      }
      if (size < 0) {
        return ReadEnd::Reset;
      }
      mBytes.append(buf, std::size_t(size));
    }
  }
  bool hasBytes() const { return !mBytes.empty(); }

private:
  bool parse(Message& aMessage)
  {
    const auto end = mBytes.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    Message message;
    std::size_t at = mBytes.find("\r\n");
    message.first = mBytes.substr(0, at);
    while (at < end) {
      const auto next = mBytes.find("\r\n", at + 2);
      const auto line = mBytes.substr(at + 2, next - at - 2);
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers[lower(line.substr(0, colon))] = value;
      }
      at = next;
    }
    const auto length = std::size_t(atoll(message.header("content-length").c_str()));
    if (mBytes.size() < end + 4 + length) {
      return false;
    }
    message.body = mBytes.substr(end + 4, length);
    mBytes.erase(0, end + 4 + length);
    aMessage = std::move(message);
    return true;
  }

  int mFd;
  std::string mBytes;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string
makeResponse(int aStatus, const Headers& aHeaders, const std::string& aBody)
{
  auto text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** Accepts connections on a thread and serves each on one of its own. */
class Listener
{
public:
  using Serve = std::function<void(int)>;

  bool start(const Address& aAddress, Serve aServe)
  {
    mFd = listenOn(aAddress);
    if (mFd < 0) {
      return false;
    }
    mServe = std::move(aServe);
    mThread = std::thread([this] { acceptAll(); });
    return true;
  }

  /** Stops listening; with `aCut`, also ends all connections at once. */
  void stop(bool aCut)
  {
    if (mFd < 0) {
      return;
    }
    mIsStopping = true;
    shutdown(mFd, SHUT_RDWR);
    mThread.join();
    close(mFd);
    mFd = -1;
    mIsStopping = false;
    if (aCut) {
      std::scoped_lock lock(mMutex);
      for (const auto it : mConnections) {
        // A reset, as from a process that has died with unread bytes.
        const linger now{ 1, 0 };
        setsockopt(it, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        shutdown(it, SHUT_RDWR);
      }
    }
  }

private:
  void acceptAll()
  {
    while (!mIsStopping) {
      const int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EMFILE || errno == ECONNABORTED || errno == EINTR) {
          sleepMs(1);
          continue;
        }
        return;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        std::scoped_lock lock(mMutex);
        mConnections.insert(fd);
      }
      std::thread([this, fd] {
        mServe(fd);
        std::scoped_lock lock(mMutex);
        mConnections.erase(fd);
        close(fd);
      }).detach();
    }
  }

  int mFd = -1;
  Serve mServe;
  std::thread mThread;
  std::atomic<bool> mIsStopping{ false };
  std::mutex mMutex;
  std::set<int> mConnections;
};

// ---------------------------------------------------------------------------------------
// The platform's store: keyed topics, /log-append and /log-newest

inline std::string
base64(const std::string& aBytes)
{
  static const char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t n = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      n = n << 8U |
          (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0U);
    }
    text += kDigits[n >> 18U & 63U];
    text += kDigits[n >> 12U & 63U];
    text += i + 1 < aBytes.size() ? kDigits[n >> 6U & 63U] : '=';
    text += i + 2 < aBytes.size() ? kDigits[n & 63U] : '=';
  }
  return text;
}

class Store
{
public:
  Address address;

  void start(const std::string& aIp)
  {
    address = { aIp, freePort(aIp) };
    if (!mListener.start(address, [this](int aFd) { serve(aFd); })) {
      cannotRun("the store can't listen");
    }
  }

  /** While it is down, calls get no answer, then or later; the operator's come through.
   */
  std::atomic<bool> isDown{ false };

  /** Writes as the operator or a worker does. An empty value removes the key. */
  void put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
  {
    std::scoped_lock lock(mMutex);
    if (aValue.empty()) {
      mTopics[aTopic].erase(aKey);
    } else {
      mTopics[aTopic][aKey] = { aValue, mOffsets[aTopic] };
    }
    ++mOffsets[aTopic];
  }

private:
  struct Item
  {
    std::string value;
    std::int64_t offset = 0;
  };

  void serve(int aFd)
  {
    Reader reader(aFd);
    Message request;
    while (reader.read(request, 3'600'000) == ReadEnd::Whole) {
      sleepMs(4); // an answer of the store
      if (isDown) {
        while (reader.read(request, 3'600'000) == ReadEnd::Whole) {
        }
        return;
      }
      std::string body;
      int status = 200;
      if (request.path() == "/log-append") {
        body = append(request);
      } else if (request.path() == "/log-newest") {
        body = newest(request);
      } else {
        status = 404;
      }
      if (!sendAll(
            aFd,
            makeResponse(status, { { "Content-Type", "application/json" } }, body))) {
        return;
      }
    }
  }

  std::string append(const Message& aRequest)
  {
    const auto topic = aRequest.query("topic");
    std::size_t at = 0;
    const auto& bytes = aRequest.body;
    while (at + 4 < bytes.size()) {
      std::uint32_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size << 8U | static_cast<unsigned char>(bytes[at + std::size_t(i)]);
      }
      const auto record = bytes.substr(at + 4, size);
      const auto keySize = static_cast<unsigned char>(record[0]);
      put(topic, record.substr(1, keySize), record.substr(1U + keySize));
      at += 4 + size;
    }
    std::scoped_lock lock(mMutex);
    const auto end = std::to_string(mOffsets[topic]);
    return "{\"offset\":" + end + ",\"end\":" + end + "}";
  }

  std::string newest(const Message& aRequest)
  {
    std::scoped_lock lock(mMutex);
    std::string items;
    const auto topic = aRequest.query("topic");
    for (const auto& [key, item] : mTopics[topic]) {
      items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key +
               "\",\"value\":\"" + base64(item.value) +
               "\",\"offset\":" + std::to_string(item.offset) + "}";
    }
    return "{\"items\":[" + items +
           "],\"more\":false,\"end\":" + std::to_string(mOffsets[topic]) + "}";
  }

  Listener mListener;
  std::mutex mMutex;
  std::map<std::string, std::map<std::string, Item>> mTopics;
  std::map<std::string, std::int64_t> mOffsets;
};

// ---------------------------------------------------------------------------------------
// The operator's configuration

struct RouteRow
{
  std::string host;
  std::string prefix;
  std::string kind;
  int timeoutMs = 800;
  int targetMs = 250;
  int priority = 1;
  int attempts = 2;
  std::string service;
};

inline std::string
makeConfig(int aVersion,
           const std::vector<RouteRow>& aRoutes,
           const std::vector<std::string>& aServices)
{
  std::string routes;
  int n = 0;
  for (const auto& it : aRoutes) {
    char row[512];
    snprintf(row,
             sizeof row,
             "%s[\"r-%d\",\"%s\",\"%s\",\"%s\",\"%dms\",\"%dms\",%d,\"%s\",%d]",
             n == 0 ? "" : ",",
             n,
             it.host.c_str(),
             it.prefix.c_str(),
             it.kind.c_str(),
             it.timeoutMs,
             it.targetMs,
             it.priority,
             it.service.c_str(),
             it.attempts);
    routes += row;
    ++n;
  }
  std::string services;
  for (const auto& it : aServices) {
    services += std::string(services.empty() ? "" : ",") + "[\"" + it +
                "\",\"/healthz\",240,\"h1\",false]";
  }
  return "{\"version\":" + std::to_string(aVersion) +
         ",\"routes\":{\"columns\":[\"name\",\"host\",\"path-prefix\",\"kind\","
         "\"timeout\","
         "\"target-latency\",\"priority\",\"service\",\"attempts\"],\"rows\":[" +
         routes +
         "]},\"services\":{\"columns\":[\"name\",\"health-path\",\"max-connections\","
         "\"protocol\",\"tls\"],\"rows\":[" +
         services +
         "]},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
         "\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"},\"base-version\":"
         "0}";
}

// ---------------------------------------------------------------------------------------
// Workers

/**
 * A worker as PROTOCOL.md has it: a number of slots and a short queue; says its load with
 * each response; the health path answers at once. Cases change it through the hooks.
 */
class Worker
{
public:
  struct Run
  {
    std::string id;
    std::string worker;
    std::int64_t atUs = 0;
    Message request;
  };
  /** What a hook has done with a request. */
  enum class Handled
  {
    No,       ///< nothing: the worker does its work and answers
    Answered, ///< the work and the answer
    Closed,   ///< the connection is to be closed
  };
  /** Called for each request that a slot has begun to run. */
  using OnRun = std::function<Handled(Worker&, int aFd, const Message&)>;
  /** Called with each request, before anything else is done for it. */
  using OnArrival = std::function<void(Worker&, int aFd, const Message&)>;

  std::string id;
  std::string service;
  std::string zone;
  Address address;
  int slots = 4;
  int queue = 8;
  double workMs = 20;
  std::size_t responseBytes = 400;
  std::atomic<int> healthStatus{ 200 };
  /** False: its responses have no load header, and a request on the health path waits for
   * a slot or is rejected, as any other. */
  bool tellsLoad = true;
  /** On a busy host, work takes four times as long for a while. */
  double noiseShare = 0;
  OnRun onRun;
  OnArrival onArrival;
  std::function<void(Worker&, int aFd)> onOpen; ///< a connection has been accepted
  /** Called after a request's response has been sent. */
  std::function<void(Worker&, int aFd, const std::string& aResponse)> onAnswered;
  std::function<void(const Run&)> recordRun;

  bool start()
  {
    return mListener.start(address, [this](int aFd) { serve(aFd); });
  }

  /** Ends as a process that dies: its connections end and its port is closed. */
  void crash() { mListener.stop(true); }

  std::string entry(const char* aState, int aSequence) const
  {
    return "{\"address\":\"" + address.text() + "\",\"born\":" + std::to_string(bornMs) +
           ",\"info\":{\"service\":\"" + service + "\",\"version\":\"v1\",\"zone\":\"" +
           zone + "\",\"concurrency-limit\":" + std::to_string(slots) +
           "},\"status\":{\"state\":\"" + aState +
           "\",\"sequence\":" + std::to_string(aSequence) + ",\"warmup-left\":\"0ms\"}}";
  }

  std::string load() const
  {
    return std::to_string(std::min(mRunning.load(), slots)) + "," +
           std::to_string(std::max(0, mRunning - slots)) + "," + std::to_string(slots) +
           ",100";
  }

  Headers headersFor(const Message& aRequest) const
  {
    Headers headers{ { "Masticwall-Request-Id",
                       aRequest.header("Masticwall-Request-Id") },
                     { "Masticwall-Server-Signature", "sig-" + id } };
    addLoad(headers);
    return headers;
  }

  /** How long work takes now, 1 as usual: changes every 300 ms. */
  double noise() const
  {
    const auto period = std::uint64_t(nowUs() / 300'000);
    std::mt19937_64 random(period * 1'000'003 + std::hash<std::string>()(id));
    return std::uniform_real_distribution<>(0, 1)(random) < noiseShare ? 4 : 1;
  }

  std::int64_t bornMs = 1'700'000'000'000;

private:
  void serve(int aFd)
  {
    if (onOpen) {
      onOpen(*this, aFd);
    }
    Reader reader(aFd);
    Message request;
    while (reader.read(request, 3'600'000) == ReadEnd::Whole) {
      if (onArrival) {
        onArrival(*this, aFd, request);
      }
      const bool isHealth = request.path() == "/healthz";
      if (isHealth && tellsLoad) {
        if (!answerHealth(aFd)) {
          return;
        }
      } else if (!handle(aFd, request, isHealth)) {
        return;
      }
    }
  }

  bool answerHealth(int aFd)
  {
    sleepMs(noise());
    Headers headers{ { "Masticwall-Instance-Id", id } };
    addLoad(headers);
    return sendAll(aFd, makeResponse(healthStatus, headers, ""));
  }

  void addLoad(Headers& aHeaders) const
  {
    if (tellsLoad) {
      aHeaders.push_back({ "Masticwall-Server-Load", load() });
    }
  }

  bool handle(int aFd, const Message& aRequest, bool aIsHealth)
  {
    const auto expected = aRequest.header("Masticwall-Expected-Instance");
    if (!expected.empty() && expected != id) {
      return sendAll(aFd, makeResponse(421, { { "Masticwall-Instance-Id", id } }, ""));
    }
    if (++mRunning > slots + queue) {
      --mRunning;
      Headers headers{ { "Masticwall-Not-Executed", "1" } };
      if (!aIsHealth) {
        headers.push_back(
          { "Masticwall-Request-Id", aRequest.header("Masticwall-Request-Id") });
      }
      addLoad(headers);
      return sendAll(aFd, makeResponse(503, headers, ""));
    }
    while (mBusy.fetch_add(1) >= slots) {
      --mBusy;
      sleepMs(1);
    }
    if (aIsHealth) {
      const bool isSent = answerHealth(aFd);
      --mBusy;
      --mRunning;
      return isSent;
    }
    if (recordRun) {
      recordRun({ aRequest.header("Masticwall-Request-Id"), id, nowUs(), aRequest });
    }
    const auto handled = onRun ? onRun(*this, aFd, aRequest) : Handled::No;
    if (handled == Handled::No) {
      sleepMs(workMs * noise());
      --mBusy;
      --mRunning;
      const auto response =
        makeResponse(200, headersFor(aRequest), std::string(responseBytes, 'w'));
      if (!sendAll(aFd, response)) {
        return false;
      }
      if (onAnswered) {
        onAnswered(*this, aFd, response);
      }
      return true;
    }
    --mBusy;
    --mRunning;
    return handled == Handled::Answered;
  }

  Listener mListener;
  std::atomic<int> mRunning{ 0 }; ///< running and queued
  std::atomic<int> mBusy{ 0 };
};

// ---------------------------------------------------------------------------------------
// Gateways

struct Gateway
{
  std::string name;
  std::string ip;
  int frontPort = 0;
  int readyPort = 0;
  int controlPort = 0;
  std::string settingsPath;
  std::string logPath;
  int maxFds = 0; ///< 0: unlimited
  pid_t pid = -1;

  Address front() const { return { ip, frontPort }; }
  bool isRunning() const { return pid > 0 && waitpid(pid, nullptr, WNOHANG) == 0; }
};

/** All that a script starts; ends it at its end. */
class System
{
public:
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<Gateway> gateways;
  std::string folder; ///< temporary
  int memoryMb = 260;
  int cores = 1;

  static System& get()
  {
    static System system;
    return system;
  }

  void begin(const std::string& aRecordPath)
  {
    signal(SIGPIPE, SIG_IGN);
    rlimit files = {};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    Record::get().open(aRecordPath);
    char name[] = "/tmp/review-XXXXXX";
    folder = mkdtemp(name);
    // By the process's id, so that two scripts that run at the same time don't meet.
    mNet = "127." + std::to_string(20 + getpid() % 200) + "." +
           std::to_string(1 + getpid() / 200 % 250) + ".";
    store.start(mNet + "2");
    for (const auto it : { SIGTERM, SIGINT, SIGALRM }) {
      signal(it, [](int) { get().endAtOnce(); });
    }
    alarm(kMaxSeconds);
  }

  std::string ip(int aHost) const { return mNet + std::to_string(aHost); }

  Worker& addWorker(const std::string& aService, const std::string& aZone)
  {
    auto worker = std::make_unique<Worker>();
    const auto n = int(workers.size());
    char id[32];
    snprintf(id, sizeof id, "i-%08x", 0x7f3a9100 + n);
    worker->id = id;
    worker->service = aService;
    worker->zone = aZone;
    const auto host = ip(100 + n);
    worker->address = { host, freePort(host) };
    worker->recordRun = [this](const Worker::Run& aRun) {
      std::scoped_lock lock(mMutex);
      runs[aRun.id].push_back(aRun);
    };
    workers.push_back(std::move(worker));
    return *workers.back();
  }

  void startWorkers()
  {
    for (const auto& it : workers) {
      if (!it->start()) {
        cannotRun("a worker can't listen");
      }
      store.put("keyed.servers", it->id, it->entry("ready", 1));
    }
  }

  /** Adds machines of a zone, with the same ports as the others. */
  void addGateways(int aCount,
                   const std::string& aZone,
                   const std::string& aRegion,
                   double aCpuShare = 0.2)
  {
    const auto first = gateways.size();
    for (int i = 0; i < aCount; ++i) {
      Gateway gateway;
      const auto n = int(gateways.size());
      gateway.name = "front-" + aZone + "-" + std::to_string(n + 1);
      gateway.ip = ip(10 + n);
      gateway.frontPort = n > 0 ? gateways[0].frontPort : freePort(ip(10));
      gateway.readyPort = n > 0 ? gateways[0].readyPort : freePort(ip(10));
      gateway.controlPort = n > 0 ? gateways[0].controlPort : freePort(ip(10));
      gateway.settingsPath = folder + "/" + gateway.name + ".toml";
      gateway.logPath = folder + "/" + gateway.name + ".log";
      gateways.push_back(gateway);
    }
    for (auto i = first; i < gateways.size(); ++i) {
      writeSettings(gateways[i], aZone, aRegion, aCpuShare);
    }
  }

  void start(Gateway& aGateway)
  {
    const auto environment = "MASTICWALL_BOOT=" + aGateway.settingsPath;
    aGateway.pid = fork();
    if (aGateway.pid == 0) {
      const int log = open(aGateway.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      if (aGateway.maxFds > 0) {
        const rlimit files{ rlim_t(aGateway.maxFds), rlim_t(aGateway.maxFds) };
        setrlimit(RLIMIT_NOFILE, &files);
      }
      signal(SIGPIPE, SIG_DFL);
      const char* const arguments[] = { "target/bin/masticwall-gateway", nullptr };
      const std::string path = std::string("PATH=") + getenv("PATH");
      const char* const variables[] = { environment.c_str(), path.c_str(), nullptr };
      execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(variables));
      _exit(127);
    }
    RECORD("gateway %s started, pid %d", aGateway.name.c_str(), aGateway.pid);
  }

  void kill(Gateway& aGateway, int aSignal)
  {
    RECORD("gateway %s gets signal %d", aGateway.name.c_str(), aSignal);
    ::kill(aGateway.pid, aSignal);
  }

  /** Waits for the process's end; kills it after `aGraceMs`. */
  void reap(Gateway& aGateway, int aGraceMs)
  {
    int status = 0;
    for (int i = 0; i < aGraceMs / 10; ++i) {
      if (waitpid(aGateway.pid, &status, WNOHANG) == aGateway.pid) {
        RECORD("gateway %s has ended, status %d", aGateway.name.c_str(), status);
        aGateway.pid = -1;
        return;
      }
      sleepMs(10);
    }
    ::kill(aGateway.pid, SIGKILL);
    waitpid(aGateway.pid, &status, 0);
    RECORD("gateway %s killed after its grace", aGateway.name.c_str());
    aGateway.pid = -1;
  }

  int readyStatus(const Gateway& aGateway)
  {
    const int fd = connectTo({ aGateway.ip, aGateway.readyPort }, 500);
    if (fd < 0) {
      return 0;
    }
    sendAll(fd, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    Message answer;
    Reader reader(fd);
    const auto end = reader.read(answer, 1000);
    close(fd);
    return end == ReadEnd::Whole ? answer.status() : 0;
  }

  void waitReady(const Gateway& aGateway, int aTimeoutMs = 10'000)
  {
    for (int i = 0; i < aTimeoutMs / 20; ++i) {
      if (readyStatus(aGateway) == 200) {
        return;
      }
      sleepMs(20);
    }
    cannotRun("gateway " + aGateway.name + " isn't ready");
  }

  /** For signal handlers: ends all processes and this one with 2. */
  [[noreturn]] void endAtOnce()
  {
    for (const auto& it : gateways) {
      if (it.pid > 0) {
        ::kill(it.pid, SIGKILL);
      }
    }
    _exit(2);
  }

  [[noreturn]] void end(int aCode)
  {
    for (const auto& it : gateways) {
      if (it.pid > 0) {
        ::kill(it.pid, SIGKILL);
        waitpid(it.pid, nullptr, 0);
      }
    }
    RECORD("exit %d", aCode);
    fflush(stdout);
    const auto remove = "rm -rf " + folder;
    if (getenv("KEEP") == nullptr && system(remove.c_str()) != 0) {
      fprintf(stderr, "can't remove %s\n", folder.c_str());
    }
    _exit(aCode);
  }

  std::map<std::string, std::vector<Worker::Run>> takeRuns()
  {
    std::scoped_lock lock(mMutex);
    return runs;
  }

private:
  void writeSettings(const Gateway& aGateway,
                     const std::string& aZone,
                     const std::string& aRegion,
                     double aCpuShare)
  {
    std::string seeds;
    for (std::size_t i = 0; i < gateways.size() && i < 3; ++i) {
      seeds += std::string(i == 0 ? "" : ",") + "\"" + gateways[i].ip + ":" +
               std::to_string(gateways[i].controlPort) + "\"";
    }
    FILE* const file = fopen(aGateway.settingsPath.c_str(), "w");
    fprintf(
      file,
      "[self]\nnode = \"%s\"\nrole = \"gateway\"\nmachine-class = \"front\"\n"
      "serves = [\"front\",\"control\"]\nip = \"%s\"\nzone = \"%s\"\nregion = \"%s\"\n"
      "in-tolerance = false\nbootstrap = true\n"
      "[self.limits]\ncpu-share = %.1f\ncores = %d\nmemory-mb = %d\nmax-fds = 4100\n"
      "link-mbps = 1000.0\ndisk-mb = 0\n"
      "[network]\ninternal-ports = [7200,7215]\nseeds = [%s]\n"
      "[network.listen]\nfront = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"%s:%d\"\n"
      "[network.zones]\npetrolina = \"sertao\"\njuazeiro = \"sertao\"\n"
      "recife = \"litoral\"\nnatal = \"litoral\"\n"
      "[platform]\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat = \"1500ms\"\n"
      "[platform.platform]\naddress = \"%s\"\nform = \"log\"\nwrites-per-s = 400\n"
      "reads-per-s = 2000\nparts = 12\nappend = \"2ms\"\npart-mb-per-s = 20.0\n"
      "egress-per-s = 80.0\nrecord-bytes = 262144\ncall-bytes = 2097152\n"
      "keep = \"300s\"\npart-mb = 200\nttl-min = \"1000ms\"\n"
      "[terms]\ncontracts = "
      "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
      "\"health\",\"platform\"]\n"
      "[terms.fault-tolerance]\nmachines = 2\nzones = 0\nregions = 0\n"
      "[terms.bounds]\nseed-lag = \"3s\"\nreuse-after = \"2s\"\n"
      "stability-window = \"3000ms\"\nack = \"4000ms\"\ncatch-up = \"4s\"\n"
      "drain = \"2000ms\"\ngrace = \"6s\"\nlost_time = \"200ms\"\nconfig = \"2000ms\"\n"
      "downgrade = \"250ms\"\nmax-skew = \"5000ms\"\nretry-budget-ratio = 0.2\n"
      "budget-window = \"10s\"\nbudget-slack = 60\nrecover = \"15s\"\n"
      "probes-per-s = 60\n",
      aGateway.name.c_str(),
      aGateway.ip.c_str(),
      aZone.c_str(),
      aRegion.c_str(),
      aCpuShare,
      cores,
      memoryMb,
      seeds.c_str(),
      aGateway.ip.c_str(),
      aGateway.frontPort,
      aGateway.ip.c_str(),
      aGateway.readyPort,
      aGateway.ip.c_str(),
      aGateway.controlPort,
      store.address.text().c_str());
    fclose(file);
  }

  std::string mNet;
  std::mutex mMutex;

public:
  std::map<std::string, std::vector<Worker::Run>> runs; ///< by request id
};

inline void
cannotRun(const std::string& aWhy)
{
  fprintf(stderr, "%s\n", aWhy.c_str());
  RECORD("couldn't run: %s", aWhy.c_str());
  System::get().end(2);
}

// ---------------------------------------------------------------------------------------
// Clients

struct Answer
{
  ReadEnd end = ReadEnd::Closed;
  Message message;
  int status() const { return end == ReadEnd::Whole ? message.status() : 0; }
};

inline std::string
newRequestId()
{
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  std::scoped_lock lock(mutex);
  char text[20];
  snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

inline std::string
makeRequest(const std::string& aMethod,
            const std::string& aHost,
            const std::string& aTarget,
            const std::string& aId,
            int aDeadlineMs,
            const std::string& aBody = {},
            bool aClose = false)
{
  auto text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost +
              "\r\nMasticwall-Request-Id: " + aId +
              "\r\nMasticwall-Request-Deadline: " + std::to_string(aDeadlineMs) + "\r\n";
  if (aMethod != "GET" || !aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  if (aClose) {
    text += "Connection: close\r\n";
  }
  return text + "\r\n" + aBody;
}

/** Sends one request on a connection of its own and waits for the answer. */
inline Answer
callOnce(const Address& aFront,
         const std::string& aMethod,
         const std::string& aHost,
         const std::string& aTarget,
         const std::string& aId,
         int aDeadlineMs,
         const std::string& aBody = {})
{
  Answer answer;
  const int fd = connectTo(aFront, std::min(1000, aDeadlineMs));
  if (fd < 0) {
    answer.end = ReadEnd::Timeout;
    return answer;
  }
  sendAll(fd, makeRequest(aMethod, aHost, aTarget, aId, aDeadlineMs, aBody, true));
  Reader reader(fd);
  answer.end = reader.read(answer.message, aDeadlineMs);
  close(fd);
  return answer;
}

inline bool
hasTrouble()
{
  const char* const value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

} // namespace review
