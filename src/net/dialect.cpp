#include "vanillahill/net/detail/dialect.hpp"

namespace vanillahill::net {

const Dialect &ownDialect() {
  static constexpr Dialect Own{
      .m_ParseRequest = &parseCallerRequest,
      .m_AnswerMessage = &answerMessage,
      .m_FaultMessage = &faultMessage,
      .m_ExchangeMessage = &exchangeMessage,
      .m_BelongsTo = &belongsTo,
      .m_ReadReply = &readExchangeReply,
      .m_Replies = {},
  };
  return Own;
}

} // namespace vanillahill::net
