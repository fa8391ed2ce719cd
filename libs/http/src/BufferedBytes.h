#pragma once

#include <http/ByteBudget.h>
#include <memory>
#include <utility>

namespace masticwall::http {

/** The part of a ByteBudget that one connection uses; returned with the object. */
class BufferedBytes
{
public:
  explicit BufferedBytes(std::shared_ptr<ByteBudget> aBudget)
    : mBudget(std::move(aBudget))
  {
  }
  ~BufferedBytes() { set(0); }
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;

  void set(std::int64_t aBytes)
  {
    if (aBytes != mBytes) {
      mBudget->add(aBytes - std::exchange(mBytes, aBytes));
    }
  }

  std::int64_t bytes() const { return mBytes; }
  bool isBudgetExceeded() const { return mBudget->isExceeded(); }

private:
  std::shared_ptr<ByteBudget> mBudget;
  std::int64_t mBytes = 0;
};

} // namespace masticwall::http
