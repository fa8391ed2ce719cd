#pragma once

#include <QEventLoop>
#include <functional>
#include <optional>

namespace masticwall {

/**
 * Calls `aStart` with a callback, and runs a Qt event loop until the callback is called.
 * Returns the callback's argument.
 */
template<class T, class Start>
T
await(Start aStart)
{
  QEventLoop loop;
  std::optional<T> result;
  aStart([&](T aValue) {
    result.emplace(std::move(aValue));
    loop.quit();
  });
  if (!result.has_value()) {
    loop.exec();
  }
  return std::move(*result);
}

} // namespace masticwall
