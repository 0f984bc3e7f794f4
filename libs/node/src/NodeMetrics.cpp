#include "NodeMetrics.h"

#include <prometheus/text_serializer.h>

namespace papayaway {

namespace {

const prometheus::Histogram::BucketBoundaries kLatencyBuckets{
  0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6, 51.2, 102.4, 204.8, 409.6, 1000
};

} // namespace

NodeMetrics::NodeMetrics()
  : mCalls(Counter("papayaway_calls_total", "Calls that entered here"))
  , mRetries(Counter("papayaway_retries_total", "Attempts after the first"))
  , mRefusals(Counter("papayaway_refusals_total",
                      "Calls answered with outcome not-run"))
  , mServed(Counter("papayaway_served_total",
                    "Calls given to the target of this host"))
  , mControlBytesSent(Counter("papayaway_control_bytes_sent_total",
                              "Bytes of control messages sent to peers"))
  , mControlBytesReceived(
      Counter("papayaway_control_bytes_received_total",
              "Bytes of control messages received from peers"))
  , mRemoteRegionBytesSent(
      Counter("papayaway_remote_region_control_bytes_sent_total",
              "Bytes of control messages sent to other regions"))
  , mCallBytesSent(Counter("papayaway_call_bytes_sent_total",
                           "Bytes of calls and replies sent to peers"))
  , mFactsMerged(Counter("papayaway_facts_merged_total", "Facts that were new"))
  , mFactsRepeated(
      Counter("papayaway_facts_repeated_total", "Facts that were known"))
  , mMalformedMessages(Counter("papayaway_malformed_messages_total",
                               "Peer messages that could not be decoded"))
  , mRefusedPeers(Counter("papayaway_refused_peers_total",
                          "Peer handshakes with wrong credentials"))
  , mDocumentVersion(
      Gauge("papayaway_document_version", "The version in force"))
  , mLinks(Gauge("papayaway_links", "Open connections to peers"))
  , mCallLatency(prometheus::BuildHistogram()
                   .Name("papayaway_call_milliseconds")
                   .Help("Time from the request to the response of a call")
                   .Register(mRegistry)
                   .Add({}, kLatencyBuckets))
{
}

prometheus::Counter&
NodeMetrics::Counter(const std::string& aName,
                     const std::string& aHelp,
                     const prometheus::Labels& aLabels)
{
  return prometheus::BuildCounter()
    .Name(aName)
    .Help(aHelp)
    .Register(mRegistry)
    .Add(aLabels);
}

prometheus::Gauge&
NodeMetrics::Gauge(const std::string& aName,
                   const std::string& aHelp,
                   const prometheus::Labels& aLabels)
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(mRegistry)
    .Add(aLabels);
}

std::string
NodeMetrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry.Collect());
}

} // namespace papayaway
