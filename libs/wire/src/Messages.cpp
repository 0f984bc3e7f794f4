#include <wire/Messages.h>

#include "CborScan.h"
#include "MessageFields.h"

namespace papayaway {

std::string
Encode(const Message& aMessage)
{
  FieldWriter writer;
  WriteVariant(writer, "t", aMessage);
  return ToCbor(writer);
}

Expected<Message>
Decode(std::string_view aBytes)
{
  if (aBytes.size() > kMaxMessage) {
    return Fail(ErrorCode::TooLarge, "message exceeds the largest size");
  }
  if (const char* const fault = ScanCbor(aBytes)) {
    return Fail(ErrorCode::Invalid, fault);
  }
  const nlohmann::json map = nlohmann::json::from_cbor(aBytes, true, false);
  if (map.is_discarded()) {
    return Fail(ErrorCode::Invalid, "malformed CBOR");
  }
  FieldReader reader(map);
  Message message;
  ReadVariant(reader, "t", message);
  if (!reader.Ok()) {
    return Fail(ErrorCode::Invalid,
                "message type " + std::to_string(message.index()) + ": " +
                  reader.Fault());
  }
  return message;
}

} // namespace papayaway
