/// \file
/// A list whose copies share their elements.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <span>
#include <utility>
#include <vector>

namespace vanillahill {

/// A list that is copied in constant time: copies share the elements until one of them is added to.
/// Different threads may use different copies, but none may be added to after copies were made for
/// other threads.
template <typename T> class SharedList {
public:
  using value_type = T;
  using const_iterator = typename std::span<const T>::iterator;

  SharedList() = default;
  SharedList(std::vector<T> Items) : m_Items(std::make_shared<std::vector<T>>(std::move(Items))) {}
  SharedList(std::initializer_list<T> Items) : SharedList(std::vector<T>(Items)) {}

  /// \brief Adds an element to this copy only.
  /// \note Complexity: linear for the first element after the list was copied.
  void push_back(T Item) { // NOLINT(readability-identifier-naming): named as in std::vector
    if (!m_Items) {
      m_Items = std::make_shared<std::vector<T>>();
    } else if (m_Items.use_count() > 1) {
      m_Items = std::make_shared<std::vector<T>>(*m_Items);
    }
    m_Items->push_back(std::move(Item));
  }

  /// \brief Whether both are copies of one list, or neither ever had an element.
  bool sharesWith(const SharedList &Other) const { return m_Items == Other.m_Items; }

  std::span<const T> span() const {
    return m_Items ? std::span<const T>(*m_Items) : std::span<const T>();
  }
  const_iterator begin() const { return span().begin(); }
  const_iterator end() const { return span().end(); }
  std::size_t size() const { return span().size(); }
  bool empty() const { return span().empty(); }
  const T &operator[](std::size_t Index) const { return span()[Index]; }
  const T &front() const { return span().front(); }
  const T &back() const { return span().back(); }

private:
  std::shared_ptr<std::vector<T>> m_Items;
};

} // namespace vanillahill
