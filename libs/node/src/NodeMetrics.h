#pragma once

#include <cstdint>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace papayaway {

/** The metrics of a node. Their names and labels are a public interface. */
class NodeMetrics
{
public:
  NodeMetrics();

  /** @return all metrics in the Prometheus text format. */
  [[nodiscard]] std::string Text() const;

  prometheus::Counter& Counter(const std::string& aName,
                               const std::string& aHelp,
                               const prometheus::Labels& aLabels = {});
  prometheus::Gauge& Gauge(const std::string& aName,
                           const std::string& aHelp,
                           const prometheus::Labels& aLabels = {});

private:
  prometheus::Registry mRegistry;

public:
  prometheus::Counter& mCalls;
  prometheus::Counter& mRetries;
  prometheus::Counter& mRefusals;
  prometheus::Counter& mServed;
  prometheus::Counter& mControlBytesSent;
  prometheus::Counter& mControlBytesReceived;
  prometheus::Counter& mRemoteRegionBytesSent;
  prometheus::Counter& mCallBytesSent;
  prometheus::Counter& mFactsMerged;
  prometheus::Counter& mFactsRepeated;
  prometheus::Counter& mMalformedMessages;
  prometheus::Counter& mRefusedPeers;
  prometheus::Gauge& mDocumentVersion;
  prometheus::Gauge& mLinks;
  prometheus::Histogram& mCallLatency;
};

} // namespace papayaway
