#include "placement/orders.h"

namespace hibiscushold {

const char*
NameOf(OrderKind aKind)
{
  switch (aKind) {
    case OrderKind::Join:
      return "join";
    case OrderKind::Open:
      return "open";
    case OrderKind::Close:
      return "close";
    case OrderKind::Leave:
      return "leave";
  }
  return "";
}

const char*
NameOf(OrderOutcome aOutcome)
{
  switch (aOutcome) {
    case OrderOutcome::Accepted:
      return "begun";
    case OrderOutcome::AlreadyDone:
      return "done";
    case OrderOutcome::InvalidState:
      return "unfit";
    case OrderOutcome::Outdated:
      return "outdated";
    case OrderOutcome::Invalid:
      return "wrong";
    case OrderOutcome::NoResponse:
      return "unknown";
  }
  return "";
}

} // namespace hibiscushold
