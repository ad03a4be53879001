#include "operators/operator_commands.hpp"

#include <cerrno>
#include <cstring>
#include <utility>

#include "observe/log.hpp"
#include "observe/metrics.hpp"

namespace brassfront {
namespace {

using observe::Concern;
using observe::Level;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kFailed = 500;
constexpr int kUnavailable = 503;
constexpr const char* kGet = "GET";
constexpr const char* kPost = "POST";

void LogMaintenance(const char* event, const std::string& endpoint) {
  observe::Log(Concern::kService, Level::kInfo, event, {{"id", endpoint}, {"source", "operator"}});
}

}  // namespace

OperatorCommands::OperatorCommands(FolderOwner& owner, EndpointExclusions& exclusions)
    : owner_(owner), file_(owner.folder()), exclusions_(exclusions) {
  Load();
}

void OperatorCommands::Load() {
  // A previous owner may still change the file. This process writes it only after reading it as the
  // owner.
  const auto stored = owner_.Owns() ? file_.Read() : std::nullopt;
  if (stored) {
    excluded_.insert(stored->begin(), stored->end());
  } else {
    observe::LogRateLimited(Concern::kService, Level::kError, "exclusions cannot be read",
                            {{"error", std::strerror(errno)}});
  }
  loaded_ = stored.has_value();
  Apply();
  exclusions_.SetComplete(loaded_);
}

void OperatorCommands::Apply() {
  const auto deliver = [this](MemberList changes) {
    if (forwarder_.set_endpoints) forwarder_.set_endpoints(std::move(changes));
  };
  exclusions_.SetExcluded(ExclusionSource::kOperator, excluded_, deliver);
  observe::SetGauge("endpoints_excluded", {"source", "operator"},
                    static_cast<std::int64_t>(excluded_.size()));
}

OperatorReply OperatorCommands::Execute(const HttpRequest& request) {
  const bool is_get = request.method == kGet;
  const bool is_post = request.method == kPost;
  const std::string& path = request.path;
  if (path == "/status" || path == "/metrics") {
    if (!is_get) return {kMethodNotAllowed, "only GET\n"};
    if (path == "/metrics") return {kOk, observe::FormatMetrics()};
    return forwarder_.serves() ? OperatorReply{kOk, "serving\n"}
                               : OperatorReply{kUnavailable, "not serving\n"};
  }
  const bool enter = path == "/maintenance/enter";
  const bool exit = path == "/maintenance/exit";
  if (!enter && !exit && path != "/standby" && path != "/active") {
    return {kNotFound, "no such path\n"};
  }
  if (!is_post) return {kMethodNotAllowed, "only POST\n"};
  if (!enter && !exit) return SetStandby(path == "/standby");
  const auto endpoint = QueryParameter(request.query, "id");
  if (!endpoint || endpoint->empty()) return {kBadRequest, "no id\n"};
  return enter ? EnterMaintenance(*endpoint) : ExitMaintenance(*endpoint);
}

OperatorReply OperatorCommands::SetStandby(bool standby) {
  forwarder_.set_standby(standby);
  observe::Log(Concern::kService, Level::kInfo, standby ? "standby" : "active",
               {{"source", "operator"}});
  return {kOk, standby ? "standby\n" : "active\n"};
}

OperatorReply OperatorCommands::EnterMaintenance(const std::string& endpoint) {
  if (!exclusions_.IsListed(endpoint) && !excluded_.contains(endpoint)) {
    return {kNotFound, "unknown endpoint\n"};
  }
  if (excluded_.insert(endpoint).second) {
    Apply();
    LogMaintenance("maintenance entered", endpoint);
    write_is_due_ = true;
  }
  return Store(endpoint);
}

OperatorReply OperatorCommands::ExitMaintenance(const std::string& endpoint) {
  const bool was_excluded = excluded_.erase(endpoint) > 0;
  if (!was_excluded && !exclusions_.IsListed(endpoint)) return {kNotFound, "unknown endpoint\n"};
  if (was_excluded) {
    forwarder_.readmit(endpoint);
    Apply();
    LogMaintenance("maintenance exited", endpoint);
    write_is_due_ = true;
  }
  return Store(endpoint);
}

// The change must be on the disk before the operator gets a success reply.
OperatorReply OperatorCommands::Store(const std::string& endpoint) {
  Retry();
  if (!write_is_due_) return {kOk, endpoint + "\n"};
  return {kFailed, "in force, but not stored yet: it would not outlast this process\n"};
}

void OperatorCommands::Retry() {
  if (!loaded_) Load();
  if (!loaded_ || !write_is_due_) return;
  write_is_due_ = !file_.Write(excluded_);
  if (!write_is_due_) return;
  observe::Count("storage_errors_total", {"file", "exclusions"});
  observe::LogRateLimited(Concern::kService, Level::kError, "exclusions not stored",
                          {{"error", std::strerror(errno)}});
}

}  // namespace brassfront
