#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "LocalTarget.h"

namespace papayaway {
namespace {

// Guards against an announcement of another writer that counts as that of a new
// process because a field is missing or of another type: it would make a target
// ready that the node has drained.
TEST(ParseAnnouncement, AnnouncementWithAChangedFieldIsRejected)
{
  const std::string good =
    R"({"service":"s","version":"v","address":"127.0.0.1:1","instance":"i",)"
    R"("state":"ready","slots":2,"connections":3})";
  ASSERT_TRUE(ParseAnnouncement(good));
  for (const std::string field : { R"("service":"s")",
                                   R"("version":"v")",
                                   R"("address":"127.0.0.1:1")",
                                   R"("instance":"i")",
                                   R"("state":"ready")",
                                   R"("slots":2)",
                                   R"("connections":3)" }) {
    const std::size_t at = good.find(field);
    ASSERT_NE(at, std::string::npos);
    const std::string name = field.substr(0, field.find(':') + 1);
    for (const std::string& other : std::vector<std::string>{
           R"("other":0)", name + "null", name + "-1", name + "[]" }) {
      std::string text = good;
      text.replace(at, field.size(), other);
      EXPECT_FALSE(ParseAnnouncement(text)) << text;
    }
  }
  for (std::size_t size = 0; size < good.size(); ++size) {
    EXPECT_FALSE(ParseAnnouncement(good.substr(0, size))) << size;
  }
}

} // namespace
} // namespace papayaway
