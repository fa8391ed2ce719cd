#pragma once

#include <QEventLoop>
#include <functional>
#include <optional>

namespace masticwall {

/** Runs the event loop until `aStart`'s callback is called; returns what it was given. */
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
