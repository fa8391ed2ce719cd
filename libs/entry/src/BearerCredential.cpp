#include <algorithm>
#include <cctype>
#include <entry/BearerCredential.h>

namespace masticwall {

namespace {

bool
isSameToken(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aOne, char aTwo) {
      return std::tolower(static_cast<unsigned char>(aOne)) ==
             std::tolower(static_cast<unsigned char>(aTwo));
    });
}

std::string_view
withoutSpaces(std::string_view aText)
{
  const auto isSpace = [](char aChar) { return aChar == ' ' || aChar == '\t'; };
  while (!aText.empty() && isSpace(aText.front())) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && isSpace(aText.back())) {
    aText.remove_suffix(1);
  }
  return aText;
}

CallerCredential
parse(std::string_view aText)
{
  const auto text = withoutSpaces(aText);
  const auto schemeEnd = text.find(' ');
  if (schemeEnd == std::string_view::npos ||
      !isSameToken(text.substr(0, schemeEnd), kBearer)) {
    return { CredentialForm::Malformed };
  }
  const auto key = withoutSpaces(text.substr(schemeEnd));
  if (key.empty() || key.find_first_of(" \t") != std::string_view::npos) {
    return { CredentialForm::Malformed };
  }
  return { CredentialForm::Key, std::string(key) };
}

} // namespace

CallerCredential
readBearerCredential(const http::HeaderList& aHeaders)
{
  CallerCredential credential;
  for (const auto& it : aHeaders) {
    if (!isSameToken(it.name, kAuthorization)) {
      continue;
    }
    if (credential.form != CredentialForm::None) {
      return { CredentialForm::Repeated };
    }
    credential = parse(it.value);
  }
  return credential;
}

} // namespace masticwall
