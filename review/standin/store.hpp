#pragma once

/// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata
/// store"): linearizable, one revision counter, lists, watches and conditional
/// writes.

#include "kit.hpp"

#include <json/json.h>

namespace kit {

inline std::string
ToText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

inline bool
FromText(const std::string& aText, Json::Value& aInto)
{
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string errors;
  return reader->parse(
    aText.data(), aText.data() + aText.size(), &aInto, &errors);
}

class Store
{
public:
  Store()
    : mServer([this](Connection& aTo, const Message& aCall) {
      return Handle(aTo, aCall);
    })
  {
  }

  std::string Address() const { return mServer.Address(); }
  int Port() const { return mServer.Port(); }

  /// Creates or replaces an object, as the operator and the workers do. A
  /// change of seq alone changes nothing.
  void Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpec)
  {
    const std::lock_guard guard(mLock);
    Write(aKind, aName, aSpec, false);
  }

  void Remove(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard guard(mLock);
    if (mObjects[aKind].contains(aName)) {
      Write(aKind, aName, "null", true);
    }
  }

  /// Cuts off all watches that wait, as the store may at any time. Other calls,
  /// and watches that come later, are served.
  void CutWatches()
  {
    {
      const std::lock_guard guard(mLock);
      ++mWatchCuts;
    }
    mChanged.notify_all();
  }

private:
  struct Object
  {
    std::string mName;
    uint64_t mRevision = 0;
    std::string mSpec; ///< JSON text
  };
  struct Change
  {
    std::string mKind;
    Object mObject;
    bool mDeleted = false;
  };

  static std::string Render(const Object& aObject)
  {
    return "{\"metadata\":{\"name\":\"" + aObject.mName +
           "\",\"rev\":" + std::to_string(aObject.mRevision) +
           ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" +
           aObject.mSpec + ",\"status\":null}";
  }

  Object Write(const std::string& aKind,
               const std::string& aName,
               const std::string& aSpec,
               bool aDeleted)
  {
    std::map<std::string, Object>& objects = mObjects[aKind];
    const auto known = objects.find(aName);
    if (!aDeleted && known != objects.end() && known->second.mSpec == aSpec) {
      return known->second;
    }
    const Object object{ aName, ++mRevision, aSpec };
    if (aDeleted) {
      objects.erase(aName);
    } else {
      objects[aName] = object;
    }
    mChanges.push_back({ aKind, object, aDeleted });
    mChanged.notify_all();
    return object;
  }

  static std::map<std::string, std::string> QueryOf(const std::string& aTarget)
  {
    std::map<std::string, std::string> query;
    const size_t mark = aTarget.find('?');
    std::istringstream in(mark == std::string::npos ? ""
                                                    : aTarget.substr(mark + 1));
    for (std::string part; std::getline(in, part, '&');) {
      const size_t equals = part.find('=');
      if (equals != std::string::npos) {
        query[part.substr(0, equals)] = part.substr(equals + 1);
      }
    }
    return query;
  }

  bool Handle(Connection& aTo, const Message& aCall)
  {
    SleepMs(4);
    const std::string target = aCall.Word(1);
    const std::string prefix = "/v1/objects/";
    std::string path = target.substr(0, target.find('?'));
    if (path.rfind(prefix, 0) != 0) {
      return aTo.Send(Reply(404, "{}"));
    }
    path.erase(0, prefix.size());
    const size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name =
      slash == std::string::npos ? "" : path.substr(slash + 1);
    const auto query = QueryOf(target);
    const std::string method = aCall.Word(0);
    if (method == "GET" && query.contains("watch")) {
      const std::string events = Watch(
        kind, std::stoull(query.at("watch")), std::stoll(query.at("wait_ms")));
      return !events.empty() && aTo.Send(events);
    }
    const std::lock_guard guard(mLock);
    return aTo.Send(method == "GET"
                      ? Read(kind, name)
                      : Change_(method, kind, name, query, aCall));
  }

  std::string Read(const std::string& aKind, const std::string& aName)
  {
    if (!aName.empty()) {
      const auto it = mObjects[aKind].find(aName);
      return it == mObjects[aKind].end() ? Reply(404, "{}")
                                         : Reply(200, Render(it->second));
    }
    std::string items;
    for (const auto& [name, object] : mObjects[aKind]) {
      items += (items.empty() ? "" : ",") + Render(object);
    }
    return Reply(200,
                 "{\"items\":[" + items + "],\"has_more\":false,\"as_of\":" +
                   std::to_string(mRevision) + "}");
  }

  /// @return the response, or nothing if the watch was cut off
  std::string Watch(const std::string& aKind, uint64_t aSince, int64_t aWait)
  {
    const int64_t until = NowMs() + aWait;
    std::unique_lock guard(mLock);
    const uint64_t cuts = mWatchCuts;
    for (;;) {
      if (mWatchCuts != cuts) {
        return "";
      }
      std::string events;
      for (const Change& it : mChanges) {
        if (it.mKind == aKind && it.mObject.mRevision > aSince) {
          events += (events.empty() ? "" : ",") + std::string("{\"deleted\":") +
                    (it.mDeleted ? "true" : "false") +
                    ",\"object\":" + Render(it.mObject) + "}";
        }
      }
      const int64_t left = until - NowMs();
      if (!events.empty() || left <= 0) {
        return Reply(200,
                     "{\"events\":[" + events +
                       "],\"as_of\":" + std::to_string(mRevision) + "}");
      }
      mChanged.wait_for(guard, std::chrono::milliseconds(left));
    }
  }

  std::string Change_(const std::string& aMethod,
                      const std::string& aKind,
                      const std::string& aName,
                      const std::map<std::string, std::string>& aQuery,
                      const Message& aCall)
  {
    Json::Value body;
    if (aMethod != "DELETE" && !FromText(aCall.mBody, body)) {
      return Reply(400, "{}");
    }
    const std::string name =
      aMethod == "POST" ? body["metadata"]["name"].asString() : aName;
    std::optional<uint64_t> revision;
    if (body["metadata"]["rev"].isUInt64()) {
      revision = body["metadata"]["rev"].asUInt64();
    }
    if (aQuery.contains("rev")) {
      revision = std::stoull(aQuery.at("rev"));
    }
    const auto known = mObjects[aKind].find(name);
    const bool exists = known != mObjects[aKind].end();
    if (aMethod != "POST" && !exists) {
      return Reply(404, "{}");
    }
    if ((aMethod == "POST" && exists) ||
        (revision && exists && known->second.mRevision != *revision)) {
      return Reply(409, Render(known->second));
    }
    if (aMethod == "DELETE") {
      return Reply(200, Render(Write(aKind, name, "null", true)));
    }
    return Reply(200, Render(Write(aKind, name, ToText(body["spec"]), false)));
  }

  std::mutex mLock;
  std::condition_variable mChanged;
  uint64_t mRevision = 1000;
  uint64_t mWatchCuts = 0;
  std::map<std::string, std::map<std::string, Object>> mObjects;
  std::vector<Change> mChanges;
  Server mServer;
};

} // namespace kit
