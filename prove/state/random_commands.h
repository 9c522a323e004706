#pragma once

#include "common/random_source.h"
#include "state/view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Toucandeck::testing
{

/// Generates random commands; about half of them are valid in the current state.
class RandomCommands
{
public:
    explicit RandomCommands(RandomSource &random);

    wire::Command next(const View &view);

    /// Edit with a new request id and mostly with the current revisions.
    wire::Command edit(const View &view);

    bool oneIn(std::uint64_t n);

private:
    wire::RowEdit randomRowEdit(const View &view);
    void randomValues(wire::TableRow &row);
    wire::Command registration(const View &view);
    wire::Command sessionEnd(const View &view);
    wire::Command grants(const View &view, bool moves);
    wire::Command release(const View &view);
    wire::Command hotKey(const View &view);
    wire::Command hotKeyRelease(const View &view);
    std::string service();
    std::uint64_t session(const View &view);
    /// Mostly a session of the service if there is one, so that many commands take effect.
    std::uint64_t sessionOf(const View &view, const std::string &service);
    template<class T>
    const T &pick(const std::vector<T> &all);

    RandomSource &m_random;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastSession = 0;
};

} // namespace Toucandeck::testing
