#include "route/fairqueue.h"

#include <algorithm>

namespace hibiscushold {

void
FairQueue::Push(QueuedRequest aRequest)
{
  Class& queue = mClasses[static_cast<size_t>(aRequest.mPriority)];
  Flow& flow = queue.mFlows[aRequest.mAccount];
  if (flow.mRequests.empty()) {
    // An account gets no credit for the time in which it had no requests.
    flow.mVirtualStart = std::max(flow.mVirtualStart, queue.mVirtualTime);
  }
  flow.mShare = std::max(1U, aRequest.mShare);
  flow.mRequests.push_back(std::move(aRequest));
  ++queue.mSize;
}

std::optional<QueuedRequest>
FairQueue::Pop()
{
  for (Class& it : mClasses) {
    if (it.mSize > 0) {
      return PopFrom(it);
    }
  }
  return std::nullopt;
}

std::optional<QueuedRequest>
FairQueue::PopFrom(Class& aClass)
{
  Flow* next = nullptr;
  for (auto& [account, flow] : aClass.mFlows) {
    const bool earlier =
      !flow.mRequests.empty() &&
      (next == nullptr || flow.mVirtualStart < next->mVirtualStart);
    next = earlier ? &flow : next;
  }
  if (next == nullptr) {
    return std::nullopt;
  }
  QueuedRequest request = std::move(next->mRequests.front());
  next->mRequests.pop_front();
  aClass.mVirtualTime = next->mVirtualStart;
  next->mVirtualStart += 1.0 / next->mShare;
  --aClass.mSize;
  RemoveIdleFlows(aClass);
  return request;
}

std::optional<QueuedRequest>
FairQueue::Shed()
{
  for (auto it = mClasses.rbegin(); it != mClasses.rend(); ++it) {
    if (it->mSize > 0) {
      return ShedFrom(*it);
    }
  }
  return std::nullopt;
}

QueuedRequest
FairQueue::ShedFrom(Class& aClass)
{
  const auto longest = std::max_element(
    aClass.mFlows.begin(), aClass.mFlows.end(), [](auto& aLeft, auto& aRight) {
      const Flow& left = aLeft.second;
      const Flow& right = aRight.second;
      return left.mRequests.size() * right.mShare <
             right.mRequests.size() * left.mShare;
    });
  std::deque<QueuedRequest>& requests = longest->second.mRequests;
  QueuedRequest request = std::move(requests.back());
  requests.pop_back();
  --aClass.mSize;
  return request;
}

bool
FairQueue::Remove(uint64_t aId)
{
  for (Class& it : mClasses) {
    for (auto& [account, flow] : it.mFlows) {
      const size_t n =
        std::erase_if(flow.mRequests, [&](const QueuedRequest& aRequest) {
          return aRequest.mId == aId;
        });
      it.mSize -= n;
      if (n > 0) {
        return true;
      }
    }
  }
  return false;
}

size_t
FairQueue::Size() const
{
  return SizeUpTo(Priority::Bulk);
}

size_t
FairQueue::SizeUpTo(Priority aPriority) const
{
  size_t n = 0;
  for (size_t i = 0; i <= static_cast<size_t>(aPriority); ++i) {
    n += mClasses[i].mSize;
  }
  return n;
}

size_t
FairQueue::CountAhead(Priority aPriority,
                      const std::string& aAccount,
                      uint32_t aShare) const
{
  const auto own = static_cast<size_t>(aPriority);
  size_t n = 0;
  for (size_t i = 0; i < own; ++i) {
    n += mClasses[i].mSize;
  }
  const auto& flows = mClasses[own].mFlows;
  const auto flow = flows.find(aAccount);
  const size_t position =
    flow == flows.end() ? 1 : flow->second.mRequests.size() + 1;
  for (const auto& [account, other] : flows) {
    const size_t served = position * other.mShare / std::max(1U, aShare) + 1;
    n += std::min(other.mRequests.size(), served);
  }
  return n;
}

void
FairQueue::RemoveIdleFlows(Class& aClass)
{
  std::erase_if(aClass.mFlows, [&](const auto& aFlow) {
    return aFlow.second.mRequests.empty() &&
           aFlow.second.mVirtualStart <= aClass.mVirtualTime;
  });
}

} // namespace hibiscushold
