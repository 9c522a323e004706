#pragma once

#include "common/clock.h"
#include "common/random_source.h"
#include "log/logger.h"

#include <array>
#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Toucandeck
{

/// W3C trace context of one hop (https://www.w3.org/TR/trace-context/).
struct TraceContext
{
    std::string traceId; ///< 32 lower-case hexadecimal digits, not all zero.
    std::string spanId; ///< 16 lower-case hexadecimal digits, not all zero.
    std::uint8_t flags = 0; ///< Bit 0: sampled.

    /// Value of the traceparent header, version 00.
    std::string toHeader() const;
};

/// Reads the header traceparent; empty if it is malformed. Versions after 00 are read as far as version 00 defines them.
std::optional<TraceContext> parseTraceparent(std::string_view header);

class Tracer;

/// Span: one timed hop of a request. Written to the trace file when finished or destroyed.
class Span
{
public:
    Span() = default;
    Span(Span &&other) noexcept;
    Span &operator=(Span &&other) noexcept;
    ~Span();

    const TraceContext &context() const;
    void tag(std::string name, std::string value);
    void finish();

private:
    friend class Tracer;
    Tracer *m_tracer = nullptr;
    TraceContext m_context;
    std::string m_parentSpan;
    std::string m_name;
    TimePoint m_start;
    WallTime m_wallStart;
    std::vector<std::pair<std::string, std::string>> m_tags;
};

/// Writes one JSON line per sampled span to a file. Without a file it only propagates trace contexts.
class Tracer
{
public:
    /// @param file path of the trace file; if empty, no spans are written.
    Tracer(const Clock &clock, RandomSource &random, std::string process, const std::string &file, Logger &logger);

    /// Starts a child span of the span in @p parentHeader, or a new trace if the header is missing or malformed.
    Span start(std::string name, std::string_view parentHeader);

private:
    friend class Span;
    void write(const Span &span);

    const Clock &m_clock;
    RandomSource &m_random;
    std::string m_process;
    Logger &m_logger;
    std::ofstream m_file;
    bool m_failed = false;
};

} // namespace Toucandeck
