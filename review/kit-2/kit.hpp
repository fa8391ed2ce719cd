// Stand-ins of the platform for the scripts of this review: the metadata store, workers,
// clients, and the processes under test. Everything runs on loopback addresses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const Clock::time_point kStart = Clock::now();

inline double
seconds()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void
sleepFor(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

/** Writes record.txt: one line for each event, with the time since the start. */
class Record
{
public:
  void open(const std::string& aPath) { mFile = std::fopen(aPath.c_str(), "w"); }

  void line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[1024];
    va_list arguments;
    va_start(arguments, aFormat);
    std::vsnprintf(text, sizeof text, aFormat, arguments);
    va_end(arguments);
    const std::scoped_lock lock(mMutex);
    std::fprintf(mFile, "%8.3f %s\n", seconds(), text);
    std::fflush(mFile);
  }

private:
  std::mutex mMutex;
  std::FILE* mFile = stderr;
};

inline Record gRecord;

[[noreturn]] inline void
cannotRun(const std::string& aWhy)
{
  gRecord.line("could not run: %s", aWhy.c_str());
  std::fprintf(stderr, "could not run: %s\n", aWhy.c_str());
  std::exit(2);
}

/** 127.A.B.LAST, with A and B drawn for each run. */
inline std::string
host(int aLast)
{
  static const auto net = [] {
    std::mt19937 random(std::random_device{}());
    return "127." + std::to_string(20 + random() % 200) + "." +
           std::to_string(1 + random() % 250) + ".";
  }();
  return net + std::to_string(aLast);
}

inline sockaddr_in
addressOf(const std::string& aHost, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

inline void
closeFd(int aFd)
{
  if (aFd >= 0) {
    ::close(aFd);
  }
}

/** A free port, the same on all addresses of this run. */
inline int
freePort()
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = addressOf("127.0.0.1", 0);
  socklen_t size = sizeof address;
  bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  closeFd(fd);
  return ntohs(address.sin_port);
}

inline bool
sendAll(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto n = ::send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message
{
  std::string first; ///< request line or status line
  Headers headers;
  std::string body;
  bool isWhole = false;

  std::string header(const std::string& aName) const
  {
    for (const auto& [name, value] : headers) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const
  {
    const auto begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
  }
  int status() const
  {
    return first.size() > 12 && first.starts_with("HTTP/1.") ? std::atoi(first.c_str() + 9)
                                                             : 0;
  }
};

/** Reads HTTP/1.1 messages with a length from one connection. */
class Reader
{
public:
  explicit Reader(int aFd)
    : mFd(aFd)
  {
  }

  /** Bytes a second that are read at most; 0: no limit. */
  double bytesPerSecond = 0.0;

  /** The next message, or what has come of it when the connection ends or the time is
   * over; empty if nothing has come. */
  std::optional<Message> read(double aSeconds = 600.0)
  {
    const auto until = seconds() + aSeconds;
    std::size_t headEnd = 0;
    while ((headEnd = mBytes.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(until)) {
        return mBytes.empty() ? std::nullopt : std::optional(Message{ mBytes, {}, {}, false });
      }
    }
    Message message;
    std::istringstream head(mBytes.substr(0, headEnd));
    std::getline(head, message.first);
    trim(message.first);
    for (std::string line; std::getline(head, line);) {
      trim(line);
      const auto colon = line.find(':');
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.headers.push_back(
        { line.substr(0, colon), value == std::string::npos ? "" : line.substr(value) });
    }
    mBytes.erase(0, headEnd + 4);
    const auto length = message.header("Content-Length");
    const std::size_t n = length.empty() ? 0 : std::stoull(length);
    const int status = message.status();
    const bool isInterim = status >= 100 && status < 200;
    while (mBytes.size() < n && !isInterim) {
      if (!fill(until)) {
        message.body = std::exchange(mBytes, {});
        return message;
      }
    }
    message.body = mBytes.substr(0, n);
    mBytes.erase(0, n);
    message.isWhole = true;
    return message;
  }

  std::string why; ///< how the connection ended

private:
  static void trim(std::string& aLine)
  {
    while (!aLine.empty() && (aLine.back() == '\r' || aLine.back() == ' ')) {
      aLine.pop_back();
    }
  }

  bool fill(double aUntil)
  {
    const auto left = aUntil - seconds();
    pollfd request{ mFd, POLLIN, 0 };
    if (left <= 0.0 || ::poll(&request, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      why = "time is over";
      return false;
    }
    char buffer[16384];
    const auto n = ::recv(mFd, buffer, sizeof buffer, 0);
    if (n <= 0) {
      why = n == 0 ? "closed" : std::strerror(errno);
      return false;
    }
    mBytes.append(buffer, static_cast<std::size_t>(n));
    if (bytesPerSecond > 0.0) {
      sleepFor(static_cast<double>(n) / bytesPerSecond);
    }
    return true;
  }

  int mFd;
  std::string mBytes;
};

inline std::string
serialize(const std::string& aFirst, const Headers& aHeaders, const std::string& aBody)
{
  auto text = aFirst + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** An HTTP/1.1 server with a thread for each connection. */
class Server
{
public:
  /** Handles one request; returns false to end the connection. */
  using Handler = std::function<bool(int aFd, const Message&)>;

  void start(const std::string& aHost, int aPort, Handler aHandler)
  {
    mHandler = std::move(aHandler);
    mFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(mFd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(aHost, aPort);
    if (bind(mFd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(mFd, 512) != 0) {
      cannotRun("can't listen on " + aHost + ":" + std::to_string(aPort));
    }
    std::thread([this] { accept(); }).detach();
  }

private:
  void accept()
  {
    while (true) {
      const int fd = ::accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      std::thread([this, fd] {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        Reader reader(fd);
        while (const auto message = reader.read()) {
          if (!message->isWhole || !mHandler(fd, *message)) {
            break;
          }
        }
        closeFd(fd);
      }).detach();
    }
  }

  int mFd = -1;
  Handler mHandler;
};

inline std::string
base64(const std::string& aText)
{
  static const char* const digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    const auto byte = [&](std::size_t aAt) {
      return aAt < aText.size() ? static_cast<unsigned char>(aText[aAt]) : 0U;
    };
    const unsigned n = byte(i) << 16U | byte(i + 1) << 8U | byte(i + 2);
    out += digits[n >> 18U];
    out += digits[n >> 12U & 63U];
    out += i + 1 < aText.size() ? digits[n >> 6U & 63U] : '=';
    out += i + 2 < aText.size() ? digits[n & 63U] : '=';
  }
  return out;
}

/** The platform's store: keyed topics only, linearizable, 4 ms an answer. */
class Store
{
public:
  void start(const std::string& aHost, int aPort)
  {
    mServer.start(aHost, aPort, [this](int aFd, const Message& aRequest) {
      return handle(aFd, aRequest);
    });
  }

  /** Writes a record; an empty value drops the key. */
  void put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
  {
    const std::scoped_lock lock(mMutex);
    auto& topic = mTopics[aTopic];
    if (aValue.empty()) {
      topic.newest.erase(aKey);
    } else {
      topic.newest[aKey] = { aValue, topic.end };
    }
    ++topic.end;
  }

  std::atomic<bool> isDown{ false }; ///< 503 to all calls

private:
  struct Item
  {
    std::string value;
    std::uint64_t offset;
  };
  struct Topic
  {
    std::map<std::string, Item> newest;
    std::uint64_t end = 0;
  };
  static constexpr std::size_t kPage = 50;

  static std::string parameter(const std::string& aTarget, const std::string& aName)
  {
    const auto query = aTarget.find('?');
    std::istringstream list(query == std::string::npos ? "" : aTarget.substr(query + 1));
    for (std::string it; std::getline(list, it, '&');) {
      if (it.starts_with(aName + "=")) {
        std::string text;
        for (std::size_t i = aName.size() + 1; i < it.size(); ++i) {
          if (it[i] == '%' && i + 2 < it.size()) {
            text += static_cast<char>(std::stoi(it.substr(i + 1, 2), nullptr, 16));
            i += 2;
          } else {
            text += it[i];
          }
        }
        return text;
      }
    }
    return {};
  }

  bool handle(int aFd, const Message& aRequest)
  {
    sleepFor(0.004);
    if (isDown) {
      return sendAll(aFd, serialize("HTTP/1.1 503 Service Unavailable", {}, ""));
    }
    const auto target = aRequest.target();
    const auto topic = parameter(target, "topic");
    std::string body;
    if (target.starts_with("/log-newest")) {
      body = newest(topic, parameter(target, "after"));
    } else if (target.starts_with("/log-append")) {
      body = append(topic, aRequest.body);
    } else {
      return sendAll(aFd, serialize("HTTP/1.1 404 Not Found", {}, ""));
    }
    return sendAll(
      aFd, serialize("HTTP/1.1 200 OK", { { "Content-Type", "application/json" } }, body));
  }

  std::string newest(const std::string& aTopic, const std::string& aAfter)
  {
    const std::scoped_lock lock(mMutex);
    const auto& topic = mTopics[aTopic];
    std::string items;
    std::size_t n = 0;
    auto it = aAfter.empty() ? topic.newest.begin() : topic.newest.upper_bound(aAfter);
    for (; it != topic.newest.end() && n < kPage; ++it, ++n) {
      items += std::string(items.empty() ? "" : ",") + R"({"key":")" + it->first +
               R"(","value":")" + base64(it->second.value) + R"(","offset":)" +
               std::to_string(it->second.offset) + "}";
    }
    const bool isMore = it != topic.newest.end();
    return R"({"items":[)" + items + R"(],"more":)" + (isMore ? "true" : "false") +
           R"(,"end":)" + std::to_string(topic.end) + "}";
  }

  std::string append(const std::string& aTopic, std::string aRecords)
  {
    std::uint64_t first = 0;
    {
      const std::scoped_lock lock(mMutex);
      first = mTopics[aTopic].end;
    }
    while (aRecords.size() > 5) {
      const auto byte = [&](int aAt) {
        return static_cast<std::size_t>(static_cast<unsigned char>(aRecords[aAt]));
      };
      const auto size = byte(0) << 24U | byte(1) << 16U | byte(2) << 8U | byte(3);
      const auto keySize = byte(4);
      put(aTopic, aRecords.substr(5, keySize), aRecords.substr(5 + keySize, size - 1 - keySize));
      aRecords.erase(0, 4 + size);
    }
    return R"({"offset":)" + std::to_string(first) + R"(,"end":)" +
           std::to_string(first + 1) + "}";
  }

  std::mutex mMutex;
  std::map<std::string, Topic> mTopics;
  Server mServer;
};

/** What a worker has been given: by request id. */
struct Run
{
  std::string id;
  std::string worker;
  std::string first;
  double at = 0.0;
};

/**
 * A worker of the platform. It answers its health path at once, turns away requests for
 * another instance with 421, and hands all others to `serve`.
 */
class Worker
{
public:
  using Serve = std::function<bool(Worker&, int aFd, const Message&)>;

  Worker(std::string aId, std::string aService, std::string aZone)
    : id(std::move(aId))
    , service(std::move(aService))
    , zone(std::move(aZone))
  {
  }

  void start(const std::string& aHost, int aPort, Serve aServe)
  {
    address = aHost + ":" + std::to_string(aPort);
    bornMs = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
    serve = std::move(aServe);
    mServer.start(aHost, aPort, [this](int aFd, const Message& aRequest) {
      return handle(aFd, aRequest);
    });
  }

  /** Its entry in the store. */
  std::string entry(const std::string& aState)
  {
    return R"({"address":")" + address + R"(","born":)" + std::to_string(bornMs) +
           R"(,"info":{"service":")" + service + R"(","version":"v1","zone":")" + zone +
           R"(","concurrency-limit":)" + std::to_string(slots) +
           R"(},"status":{"state":")" + aState + R"(","sequence":)" +
           std::to_string(++mSequence) + R"(,"warmup-left":"0ms"}})";
  }

  Headers answerHeaders(const Message& aRequest) const
  {
    return { { "Masticwall-Request-Id", aRequest.header("Masticwall-Request-Id") },
             { "Masticwall-Server-Signature",
               id + "." + aRequest.header("Masticwall-Request-Id") },
             { "Masticwall-Server-Load", load() } };
  }

  std::string load() const
  {
    return std::to_string(running.load()) + ",0," + std::to_string(slots) + ",100";
  }

  std::vector<Run> runs()
  {
    const std::scoped_lock lock(mMutex);
    return mRuns;
  }

  std::string id;
  std::string service;
  std::string zone;
  std::string address;
  std::int64_t bornMs = 0;
  int slots = 4;
  std::atomic<int> running{ 0 };
  Serve serve;

private:
  bool handle(int aFd, const Message& aRequest)
  {
    if (aRequest.target() == "/healthz") {
      return sendAll(
        aFd,
        serialize("HTTP/1.1 200 OK",
                  { { "Masticwall-Instance-Id", id }, { "Masticwall-Server-Load", load() } },
                  "ok"));
    }
    const auto expected = aRequest.header("Masticwall-Expected-Instance");
    if (!expected.empty() && expected != id) {
      return sendAll(
        aFd,
        serialize("HTTP/1.1 421 Misdirected Request",
                  { { "Masticwall-Instance-Id", id },
                    { "Masticwall-Request-Id", aRequest.header("Masticwall-Request-Id") } },
                  ""));
    }
    {
      const std::scoped_lock lock(mMutex);
      mRuns.push_back(
        { aRequest.header("Masticwall-Request-Id"), id, aRequest.first, seconds() });
    }
    gRecord.line("worker %s runs %s %s",
                 id.c_str(),
                 aRequest.header("Masticwall-Request-Id").c_str(),
                 aRequest.first.c_str());
    ++running;
    const bool goesOn = serve(*this, aFd, aRequest);
    --running;
    return goesOn;
  }

  std::mutex mMutex;
  std::vector<Run> mRuns;
  std::atomic<int> mSequence{ 0 };
  Server mServer;
};

/** A machine of the system: one process with the command of the deploy file. */
class Gateway
{
public:
  std::string node;
  std::string ip;
  std::string zone = "za";
  std::string region = "ra";
  int memoryMb = 260;
  int maxFds = 4100;
  std::string seeds;  ///< quoted list
  std::string store;  ///< address
  static inline int frontPort = 0;
  static inline int readyPort = 0;
  static inline int controlPort = 0;

  void writeSettings(const std::string& aDirectory)
  {
    mPath = aDirectory + "/" + node + ".toml";
    mLog = aDirectory + "/" + node + ".log";
    std::ofstream file(mPath);
    const auto at = [this](int aPort) { return "\"" + ip + ":" + std::to_string(aPort) + "\""; };
    file << "[self]\nnode = \"" << node << "\"\nrole = \"gateway\"\n"
         << "machine-class = \"front\"\nserves = [\"front\",\"control\"]\nip = \"" << ip
         << "\"\nzone = \"" << zone << "\"\nregion = \"" << region
         << "\"\nin-tolerance = false\nbootstrap = true\n[self.limits]\ncpu-share = 1.0\n"
         << "cores = 1\nmemory-mb = " << memoryMb << "\nmax-fds = " << maxFds
         << "\nlink-mbps = 1000.0\ndisk-mb = 0\n[network]\ninternal-ports = [7100,7115]\n"
         << "seeds = [" << seeds << "]\n[network.listen]\nfront = " << at(frontPort)
         << "\nready = " << at(readyPort) << "\ncontrol = " << at(controlPort)
         << "\n[network.zones]\nza = \"ra\"\nzb = \"ra\"\n[platform]\n"
         << "discovery = \"platform\"\nentry = \"vip\"\nheartbeat = \"1500ms\"\n"
         << "[platform.platform]\naddress = \"" << store
         << "\"\nform = \"log\"\nwrites-per-s = 400\nreads-per-s = 2000\nparts = 12\n"
         << "append = \"2ms\"\nrecord-bytes = 262144\ncall-bytes = 2097152\n"
         << "[terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
         << "\"recover\",\"health\",\"pool\",\"places\",\"tenants\",\"quota\",\"platform\"]\n"
         << "[terms.bounds]\nseed-lag = \"3s\"\nreuse-after = \"2s\"\n"
         << "stability-window = \"4000ms\"\nack = \"5000ms\"\ncatch-up = \"6s\"\n"
         << "drain = \"3000ms\"\ngrace = \"6s\"\nlost_time = \"200ms\"\n"
         << "config = \"3000ms\"\ndowngrade = \"250ms\"\nmax-skew = \"5000ms\"\n"
         << "fail-closed = false\nrevoke = \"5000ms\"\nretry-budget-ratio = 0.2\n"
         << "budget-window = \"10s\"\nbudget-slack = 158\nquota-window = \"5s\"\n"
         << "quota-over = 0.1\nquota-slack = 20\ncold-over = 1.5\ncold-slack = 8\n"
         << "evacuate = \"5000ms\"\nrecover = \"15s\"\nprobes-per-s = 60\n";
  }

  void start()
  {
    const auto program = std::string(std::getenv("GATEWAY"));
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // however the script ends
      const int log = ::open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("MASTICWALL_BOOT", mPath.c_str(), 1);
      execl(program.c_str(), program.c_str(), nullptr);
      _exit(127);
    }
  }

  void signal(int aSignal) const
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
    }
  }

  /** Waits for the end; returns how, or "runs". */
  std::string ended(double aSeconds)
  {
    for (const auto until = seconds() + aSeconds; seconds() < until; sleepFor(0.02)) {
      int status = 0;
      if (mPid > 0 && waitpid(mPid, &status, WNOHANG) == mPid) {
        mPid = -1;
        return WIFSIGNALED(status) ? "ended by signal " + std::to_string(WTERMSIG(status))
                                   : "exit code " + std::to_string(WEXITSTATUS(status));
      }
    }
    return mPid > 0 ? "runs" : "ended";
  }

  void end()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
      mPid = -1;
    }
  }

  bool isReady() const;
  pid_t pid() const { return mPid; }

private:
  std::string mPath;
  std::string mLog;
  pid_t mPid = -1;
};

/** Connects; -1 if that fails. `aReceiveBuffer`: bytes, 0 for the system's default. */
inline int
connectTo(const std::string& aHost, int aPort, int aReceiveBuffer = 0, int aSegment = 0)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
  }
  if (aSegment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &aSegment, sizeof aSegment);
  }
  const auto address = addressOf(aHost, aPort);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    closeFd(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

/** A client's request in the platform's form. */
inline std::string
clientRequest(const std::string& aMethod,
              const std::string& aPath,
              const std::string& aId,
              int aDeadlineMs,
              const std::string& aBody = {},
              const Headers& aMore = {})
{
  Headers headers{ { "Host", "a.example" },
                   { "Masticwall-Request-Id", aId },
                   { "Masticwall-Request-Deadline", std::to_string(aDeadlineMs) } };
  headers.insert(headers.end(), aMore.begin(), aMore.end());
  return serialize(aMethod + " " + aPath + " HTTP/1.1", headers, aBody);
}

inline bool
Gateway::isReady() const
{
  const int fd = connectTo(ip, readyPort);
  if (fd < 0) {
    return false;
  }
  sendAll(fd, "GET /ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
  const auto answer = Reader(fd).read(1.0);
  closeFd(fd);
  return answer.has_value() && answer->status() == 200;
}

/** The system of a script. */
class System
{
public:
  explicit System(const std::string& aDirectory)
    : directory(aDirectory)
  {
    ::signal(SIGPIPE, SIG_IGN);
    Gateway::frontPort = freePort();
    Gateway::readyPort = freePort();
    Gateway::controlPort = freePort();
    storePort = freePort();
    workerPort = freePort();
    store.start(host(2), storePort);
  }

  ~System()
  {
    for (const auto& it : gateways) {
      it->end();
    }
  }

  Worker& addWorker(const std::string& aId,
                    const std::string& aService,
                    Worker::Serve aServe)
  {
    workers.push_back(std::make_unique<Worker>(aId, aService, "za"));
    auto& worker = *workers.back();
    worker.start(host(100 + static_cast<int>(workers.size())), workerPort, std::move(aServe));
    list(worker, "ready");
    return worker;
  }

  void list(Worker& aWorker, const std::string& aState)
  {
    const std::scoped_lock lock(mMutex);
    mStates[&aWorker] = aState;
    store.put("keyed.servers", aWorker.id, aState.empty() ? "" : aWorker.entry(aState));
  }

  Gateway& addGateway()
  {
    gateways.push_back(std::make_unique<Gateway>());
    auto& gateway = *gateways.back();
    const auto n = static_cast<int>(gateways.size());
    gateway.node = "front-za-" + std::to_string(n);
    gateway.ip = host(10 + n);
    gateway.store = host(2) + ":" + std::to_string(storePort);
    gateway.seeds = "\"" + host(11) + ":" + std::to_string(Gateway::controlPort) + "\"";
    return gateway;
  }

  /** Starts all gateways and waits until each is ready and passes a request on. */
  void start(const std::string& aProbePath)
  {
    std::thread([this] { beat(); }).detach();
    for (const auto& it : gateways) {
      it->writeSettings(directory);
      it->start();
    }
    for (const auto& it : gateways) {
      const auto until = seconds() + 20.0;
      bool isServing = false;
      while (!isServing && seconds() < until) {
        sleepFor(0.1);
        if (!it->isReady()) {
          continue;
        }
        const int fd = connectTo(it->ip, Gateway::frontPort);
        sendAll(fd, clientRequest("GET", aProbePath, "warm-up", 2000));
        const auto answer = Reader(fd).read(3.0);
        isServing = answer.has_value() && answer->status() == 200;
        closeFd(fd);
      }
      if (!isServing) {
        cannotRun(it->node + " does not serve");
      }
    }
  }

  std::string directory;
  int storePort;
  int workerPort;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Gateway>> gateways;

private:
  /** The workers' heartbeats. */
  void beat()
  {
    while (true) {
      sleepFor(1.5);
      const std::scoped_lock lock(mMutex);
      for (const auto& [worker, state] : mStates) {
        if (!state.empty()) {
          store.put("keyed.servers", worker->id, worker->entry(state));
        }
      }
    }
  }

  std::mutex mMutex;
  std::map<Worker*, std::string> mStates;
};

/** Whether the disruption is to be left out. */
inline bool
hasTrouble()
{
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/** Ends the script without waiting for the stand-ins' threads. */
[[noreturn]] inline void
finish(System& aSystem, bool aIsBroken, const std::string& aWhy)
{
  for (const auto& it : aSystem.gateways) {
    it->end();
  }
  gRecord.line("%s: %s", aIsBroken ? "BROKEN" : "held", aWhy.c_str());
  std::printf("%s: %s\n", aIsBroken ? "BROKEN" : "held", aWhy.c_str());
  std::fflush(stdout);
  std::_Exit(aIsBroken ? 1 : 0);
}

} // namespace kit
