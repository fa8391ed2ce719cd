#include "TomlReader.h"
#include <sstream>

namespace masticwall {

namespace {

constexpr std::int64_t kMaxDurationMs = 24LL * 3600 * 1000;

template<class T>
std::string
rangeText(const char* aKind, T aMin, T aMax)
{
  std::ostringstream text;
  text << aKind << " from " << aMin << " to " << aMax;
  return text.str();
}

} // namespace

TomlReader::TomlReader(const toml::table& aTable,
                       std::string aPath,
                       std::vector<PresetProblem>& aProblems)
  : mTable(aTable)
  , mPath(std::move(aPath))
  , mProblems(aProblems)
{
}

std::string
TomlReader::text(const char* aKey)
{
  const auto* const node = find(aKey);
  const auto value = node == nullptr ? std::nullopt : node->value<std::string>();
  if (!value || value->empty()) {
    report(aKey, node, "a non-empty string");
    return {};
  }
  return *value;
}

std::string
TomlReader::optionalText(const char* aKey, const std::string& aDefault)
{
  return find(aKey) == nullptr ? aDefault : text(aKey);
}

double
TomlReader::number(const char* aKey, double aDefault, double aMin, double aMax)
{
  const auto* const node = find(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto value = node->value<double>();
  if (!value || !(*value >= aMin && *value <= aMax)) {
    report(aKey, node, rangeText("a number", aMin, aMax));
    return aDefault;
  }
  return *value;
}

std::int64_t
TomlReader::integer(const char* aKey,
                    std::int64_t aDefault,
                    std::int64_t aMin,
                    std::int64_t aMax)
{
  const auto* const node = find(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto value = node->value_exact<std::int64_t>();
  if (!value || *value < aMin || *value > aMax) {
    report(aKey, node, rangeText("an integer", aMin, aMax));
    return aDefault;
  }
  return *value;
}

bool
TomlReader::flag(const char* aKey, bool aDefault)
{
  const auto* const node = find(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto value = node->value_exact<bool>();
  if (!value) {
    report(aKey, node, "true or false");
    return aDefault;
  }
  return *value;
}

Duration
TomlReader::milliseconds(const char* aKey, Duration aDefault)
{
  const auto value = integer(aKey, toMilliseconds(aDefault), 1, kMaxDurationMs);
  return std::chrono::milliseconds(value);
}

const toml::table&
TomlReader::table(const char* aKey)
{
  static const toml::table sEmpty;
  const auto* const node = find(aKey);
  if (node == nullptr) {
    return sEmpty;
  }
  if (!node->is_table()) {
    report(aKey, node, "a table");
    return sEmpty;
  }
  return *node->as_table();
}

std::vector<const toml::table*>
TomlReader::tables(const char* aKey)
{
  std::vector<const toml::table*> list;
  const auto* const node = find(aKey);
  if (node == nullptr) {
    return list;
  }
  if (!node->is_array_of_tables()) {
    report(aKey, node, "an array of tables");
    return list;
  }
  for (const auto& it : *node->as_array()) {
    list.push_back(it.as_table());
  }
  return list;
}

std::string
TomlReader::pathOf(const std::string& aKey) const
{
  return mPath.empty() ? aKey : mPath + '.' + aKey;
}

void
TomlReader::report(const char* aKey, const toml::node* aNode, std::string aExpected)
{
  const auto* const located = aNode == nullptr ? &mTable : aNode;
  mProblems.push_back(
    { pathOf(aKey), located->source().begin.line, std::move(aExpected) });
}

void
TomlReader::reportUnknownKeys()
{
  for (const auto& [key, node] : mTable) {
    const std::string name(key.str());
    if (!mReadKeys.contains(name)) {
      mProblems.push_back(
        { pathOf(name), node.source().begin.line, "no such key; remove it" });
    }
  }
}

const toml::node*
TomlReader::find(const char* aKey)
{
  mReadKeys.insert(aKey);
  return mTable.get(aKey);
}

} // namespace masticwall
