#include "vanillahill/core/nesting.hpp"

#include <nlohmann/json.hpp>

namespace vanillahill {

namespace {

using Json = nlohmann::json;

/// Stops the parser at the first level beyond the limit.
class NestingGuard : public nlohmann::json_sax<Json> {
public:
  bool isTooDeep() const { return m_Depth > MaxNesting; }

  bool start_object(std::size_t /*Elements*/) override { return enter(); }
  bool start_array(std::size_t /*Elements*/) override { return enter(); }
  bool end_object() override { return leave(); }
  bool end_array() override { return leave(); }
  bool null() override { return true; }
  bool boolean(bool /*Value*/) override { return true; }
  bool number_integer(number_integer_t /*Value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*Value*/) override { return true; }
  bool number_float(number_float_t /*Value*/, const string_t & /*Text*/) override { return true; }
  bool string(string_t & /*Value*/) override { return true; }
  bool binary(binary_t & /*Value*/) override { return true; }
  bool key(string_t & /*Value*/) override { return true; }
  bool parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const nlohmann::detail::exception & /*Raised*/) override {
    return false;
  }

private:
  bool enter() { return ++m_Depth <= MaxNesting; }
  bool leave() {
    --m_Depth;
    return true;
  }

  std::size_t m_Depth = 0;
};

} // namespace

bool isJsonTooDeep(std::string_view Text) {
  std::size_t Depth = 0;
  bool IsInString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const char Byte = Text[Index];
    if (IsInString) {
      Index += Byte == '\\' ? 1 : 0;
      IsInString = Byte != '"';
    } else if (Byte == '"') {
      IsInString = true;
    } else if (Byte == '[' || Byte == '{') {
      if (++Depth > MaxNesting) {
        return true;
      }
    } else if ((Byte == ']' || Byte == '}') && Depth > 0) {
      --Depth;
    }
  }
  return false;
}

bool isCborTooDeep(std::string_view Bytes) {
  NestingGuard Guard;
  Json::sax_parse(Bytes.begin(), Bytes.end(), &Guard, Json::input_format_t::cbor);
  return Guard.isTooDeep();
}

} // namespace vanillahill
