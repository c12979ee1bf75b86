/// \file
/// What an HTTP answer means to its caller, and whether it is the caller's own.
#pragma once

#include "load_client.hpp"

#include "vanillahill/history/record.hpp"
#include "vanillahill/load/result.hpp"

#include <string>

namespace vanillahill::load::detail {

/// What the caller sent.
struct SentIds {
  std::string m_Request;
  std::string m_Operation;
  /// A repeat may get the kept answer to an earlier attempt of its operation.
  bool m_IsRepeat = false;
};

struct Answer {
  Ending m_Ending = Ending::Cut;
  std::string m_Reason;
  /// The request id in the reply body.
  std::string m_Echo;
  /// Every byte of a completed answer came.
  bool m_Whole = false;
  bool m_Foreign = false;
  bool m_Incomplete = false;
  Duration m_RetryAfter{};
};

/// \brief Reads the answer to an attempt.
Answer readAnswer(const Exchanged &Got, const SentIds &Sent);

/// \brief How a history records an ending.
history::Ending historyEnding(Ending Value);

} // namespace vanillahill::load::detail
