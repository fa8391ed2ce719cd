#include <algorithm>
#include <tables/QuotaTable.h>
#include <tuple>

namespace masticwall {

QuotaTable::Draw
QuotaTable::draw(const std::string& aTenant,
                 std::uint64_t aCall,
                 const QuotaTerms& aTerms,
                 Instant aNow)
{
  std::scoped_lock lock(mMutex);
  auto& stock = mStocks[aTenant];
  Draw draw;
  draw.verdict = stock.draw(aCall, aNow);
  draw.shouldRequest = draw.verdict == QuotaVerdict::Waiting || stock.isLow(aTerms, aNow);
  draw.retryAfter = stock.retryAfter(aNow);
  draw.drawnUntil = stock.drawnUntil();
  return draw;
}

void
QuotaTable::giveBack(const std::string& aTenant, Instant aUntil, Instant aNow)
{
  std::scoped_lock lock(mMutex);
  mStocks[aTenant].giveBack(aUntil, aNow);
}

std::optional<QuotaRequest>
QuotaTable::nextRequest(const std::string& aTenant,
                        const QuotaTerms& aTerms,
                        Instant aNow)
{
  std::scoped_lock lock(mMutex);
  auto request = mStocks[aTenant].nextRequest(aTerms, aNow);
  if (request.has_value()) {
    request->tenant = aTenant;
  }
  return request;
}

QuotaDecisions
QuotaTable::add(const QuotaGrant& aGrant, const QuotaTerms& aTerms, Instant aNow)
{
  std::scoped_lock lock(mMutex);
  return mStocks[aGrant.tenant].add(aGrant, aTerms, aNow);
}

bool
QuotaTable::recordRefusal(const std::string& aTenant, Instant aNow)
{
  std::scoped_lock lock(mMutex);
  return mStocks[aTenant].recordRefusal(aNow);
}

Duration
QuotaTable::retryAfter(const std::string& aTenant, Instant aNow) const
{
  std::scoped_lock lock(mMutex);
  const auto it = mStocks.find(aTenant);
  return it == mStocks.end() ? Duration{ 0 } : it->second.retryAfter(aNow);
}

void
QuotaTable::removeUnused(Instant aNow)
{
  std::scoped_lock lock(mMutex);
  std::erase_if(mStocks,
                [aNow](const auto& aStock) { return aStock.second.isUnused(aNow); });
}

std::vector<QuotaTable::TenantState>
QuotaTable::snapshot(std::size_t aCount) const
{
  std::vector<TenantState> states;
  {
    std::scoped_lock lock(mMutex);
    for (const auto& [tenant, stock] : mStocks) {
      states.push_back({ tenant, stock.permits(), stock.waiting(), stock.refusals() });
    }
  }
  std::sort(states.begin(),
            states.end(),
            [](const TenantState& aLeft, const TenantState& aRight) {
              return std::tie(aRight.refusals, aLeft.tenant) <
                     std::tie(aLeft.refusals, aRight.tenant);
            });
  states.resize(std::min(states.size(), aCount));
  return states;
}

} // namespace masticwall
