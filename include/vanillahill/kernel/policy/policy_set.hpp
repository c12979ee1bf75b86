/// \file
/// What a dispatcher is composed of.
#pragma once

#include "vanillahill/kernel/policy/choice.hpp"
#include "vanillahill/kernel/policy/health.hpp"
#include "vanillahill/kernel/policy/queue.hpp"
#include "vanillahill/kernel/policy/retry.hpp"
#include "vanillahill/kernel/policy/slots.hpp"

namespace vanillahill::kernel {

/// Names one policy for each part of the dispatcher.
template <typename T>
concept PolicySet = ChoicePolicy<typename T::Choice> && QueuePolicy<typename T::Queue> &&
    RetryPolicy<typename T::Retry> && HealthPolicy<typename T::Ejection> &&
    SlotPolicy<typename T::Slots>;

} // namespace vanillahill::kernel
