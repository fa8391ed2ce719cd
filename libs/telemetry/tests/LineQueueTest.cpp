#include <array>
#include <catch2/catch.hpp>
#include <core/Bytes.h>
#include <fcntl.h>
#include <telemetry/LineQueue.h>
#include <unistd.h>

using namespace masticwall;

namespace {

/** A pipe whose reader the test controls. */
class Pipe
{
public:
  Pipe() { REQUIRE(pipe2(mFds.data(), O_CLOEXEC) == 0); }
  ~Pipe()
  {
    close(mFds[0]);
    closeWriter();
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int writer() const { return mFds[1]; }
  void closeWriter()
  {
    if (mFds[1] >= 0) {
      close(mFds[1]);
      mFds[1] = -1;
    }
  }

  std::string readAll()
  {
    std::string text;
    std::array<char, 4096> buf{};
    for (auto n = read(mFds[0], buf.data(), buf.size()); n > 0;
         n = read(mFds[0], buf.data(), buf.size())) {
      text.append(buf.data(), static_cast<std::size_t>(n));
    }
    return text;
  }

private:
  std::array<int, 2> mFds{ -1, -1 };
};

constexpr std::size_t kMostBytes = 64 * kKiB;

} // namespace

TEST_CASE("lines are written in order")
{
  Pipe pipe;
  {
    LineQueue queue(pipe.writer(), kMostBytes);
    for (int i = 0; i < 100; ++i) {
      CHECK(queue.push(std::to_string(i) + '\n'));
    }
  }
  pipe.closeWriter();
  std::string expected;
  for (int i = 0; i < 100; ++i) {
    expected += std::to_string(i) + '\n';
  }
  CHECK(pipe.readAll() == expected);
}

TEST_CASE("a reader that has stopped costs lines, not the writer's time")
{
  Pipe pipe;
  LineQueue queue(pipe.writer(), kMostBytes);
  const std::string line(99, 'x');
  constexpr std::size_t kLines = 100'000;
  std::size_t taken = 0;
  for (std::size_t i = 0; i < kLines; ++i) {
    taken += queue.push(line + '\n') ? 1 : 0;
  }
  // What the queue and the pipe hold, and not much more.
  CHECK(taken < 4 * kMostBytes / 100);
  CHECK(queue.dropped() == kLines - taken);
}
