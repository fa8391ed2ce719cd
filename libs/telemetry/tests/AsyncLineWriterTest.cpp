#include <array>
#include <catch2/catch.hpp>
#include <core/Bytes.h>
#include <fcntl.h>
#include <telemetry/AsyncLineWriter.h>
#include <unistd.h>

using namespace masticwall;

namespace {

/** A pipe from which only readAll() reads. */
class Pipe
{
public:
  Pipe() { REQUIRE(pipe2(mFds.data(), O_CLOEXEC) == 0); }
  ~Pipe()
  {
    close(mFds[0]);
    closeWriteEnd();
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int writeEnd() const { return mFds[1]; }
  void closeWriteEnd()
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

constexpr std::size_t kMaxQueuedBytes = 64 * kKiB;

} // namespace

TEST_CASE("lines are written in order")
{
  Pipe pipe;
  {
    AsyncLineWriter writer(pipe.writeEnd(), kMaxQueuedBytes);
    for (int i = 0; i < 100; ++i) {
      CHECK(writer.push(std::to_string(i) + '\n'));
    }
  }
  pipe.closeWriteEnd();
  std::string expected;
  for (int i = 0; i < 100; ++i) {
    expected += std::to_string(i) + '\n';
  }
  CHECK(pipe.readAll() == expected);
}

TEST_CASE("push() drops lines instead of blocking when the reader has stopped")
{
  Pipe pipe;
  AsyncLineWriter writer(pipe.writeEnd(), kMaxQueuedBytes);
  constexpr std::size_t kLineBytes = 100; // with its line break
  const std::string line(kLineBytes - 1, 'x');
  constexpr std::size_t kLines = 100'000;
  std::size_t accepted = 0;
  for (std::size_t i = 0; i < kLines; ++i) {
    accepted += writer.push(line + '\n') ? 1 : 0;
  }
  // Only what fits into the queue and the pipe buffer (64 KiB by default) is accepted:
  // about twice kMaxQueuedBytes. Twice that is allowed.
  CHECK(accepted < 4 * kMaxQueuedBytes / kLineBytes);
  CHECK(writer.droppedLines() == kLines - accepted);
}
