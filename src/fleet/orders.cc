#include "fleet/orders.h"

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
    case OrderOutcome::Begun:
      return "begun";
    case OrderOutcome::Done:
      return "done";
    case OrderOutcome::Unfit:
      return "unfit";
    case OrderOutcome::Outdated:
      return "outdated";
    case OrderOutcome::Wrong:
      return "wrong";
    case OrderOutcome::Unknown:
      return "unknown";
  }
  return "";
}

} // namespace hibiscushold
