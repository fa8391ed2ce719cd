#include <algorithm>
#include <cctype>
#include <http/Header.h>

namespace masticwall::http {

namespace {

bool
isSameName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aOne, char aTwo) {
      return std::tolower(static_cast<unsigned char>(aOne)) ==
             std::tolower(static_cast<unsigned char>(aTwo));
    });
}

} // namespace

std::string_view
findHeader(const HeaderList& aHeaders, std::string_view aName)
{
  for (const auto& it : aHeaders) {
    if (isSameName(it.name, aName)) {
      return it.value;
    }
  }
  return {};
}

void
removeHeader(HeaderList& aHeaders, std::string_view aName)
{
  std::erase_if(
    aHeaders, [aName](const Header& aHeader) { return isSameName(aHeader.name, aName); });
}

} // namespace masticwall::http
