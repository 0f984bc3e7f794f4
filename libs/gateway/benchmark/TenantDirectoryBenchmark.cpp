#include <benchmark/benchmark.h>

#include <array>
#include <string>
#include <vector>

#include <gateway/TenantDirectory.h>

namespace papayaway::gateway {
namespace {

constexpr int kTenants = 84;

/** The check of one request's key among the given number of keys; every second
 *  key is unknown. */
void
IdentifyCaller(benchmark::State& aState)
{
  std::vector<Tenant> tenants(kTenants);
  std::vector<std::string> keys;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    keys.push_back("key-of-32-bytes-" + std::to_string(1000000000000000 + i));
    tenants[static_cast<std::size_t>(i) % kTenants].mKeys.push_back(
      keys.back());
    keys.push_back("unknown-32-byte-" + std::to_string(1000000000000000 + i));
  }
  const TenantDirectory directory(std::move(tenants));
  std::size_t next = 0;
  for (auto _ : aState) {
    const std::array<std::string_view, 1> key = { keys[next] };
    benchmark::DoNotOptimize(directory.Identify(key, false));
    next = (next + 1) % keys.size();
  }
}
BENCHMARK(IdentifyCaller)->Arg(100)->Arg(10000);

} // namespace
} // namespace papayaway::gateway
