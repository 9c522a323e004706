#include "runtime/tracer.h"

#include "runtime/events.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Toucandeck
{

namespace
{

constexpr std::uint8_t kSampled = 1;

/// Length of a version 00 header: "00-" + 32 digits + "-" + 16 digits + "-" + 2 digits.
constexpr std::size_t kHeaderLength = 55;

bool isLowerHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool isZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

std::string randomId(RandomSource &random)
{
    std::uint64_t value = 0;
    while (value == 0) {
        value = random.next();
    }
    return fmt::format("{:016x}", value);
}

} // namespace

std::string TraceContext::toHeader() const
{
    return fmt::format("00-{}-{}-{:02x}", traceId, spanId, flags);
}

std::optional<TraceContext> parseTraceparent(std::string_view header)
{
    if (header.size() < kHeaderLength || header[2] != '-' || header[35] != '-' || header[52] != '-') {
        return std::nullopt;
    }
    const auto version = header.substr(0, 2);
    // Version 00 has a fixed length; later versions may append fields; version ff is invalid.
    const bool exact = header.size() == kHeaderLength;
    if (!isLowerHex(version) || version == "ff" || (version == "00" && !exact) || (!exact && header[kHeaderLength] != '-')) {
        return std::nullopt;
    }
    const auto traceId = header.substr(3, 32);
    const auto spanId = header.substr(36, 16);
    const auto flags = header.substr(53, 2);
    if (!isLowerHex(traceId) || !isLowerHex(spanId) || !isLowerHex(flags) || isZero(traceId) || isZero(spanId)) {
        return std::nullopt;
    }
    TraceContext context{ std::string(traceId), std::string(spanId), 0 };
    std::from_chars(flags.data(), flags.data() + flags.size(), context.flags, 16);
    return context;
}

Span::Span(Span &&other) noexcept
{
    *this = std::move(other);
}

Span &Span::operator=(Span &&other) noexcept
{
    if (this != &other) {
        finish();
        m_tracer = std::exchange(other.m_tracer, nullptr);
        m_context = std::move(other.m_context);
        m_parentSpan = std::move(other.m_parentSpan);
        m_name = std::move(other.m_name);
        m_start = other.m_start;
        m_wallStart = other.m_wallStart;
        m_tags = std::move(other.m_tags);
    }
    return *this;
}

Span::~Span()
{
    finish();
}

const TraceContext &Span::context() const
{
    return m_context;
}

void Span::tag(std::string name, std::string value)
{
    if (m_tracer != nullptr) {
        m_tags.emplace_back(std::move(name), std::move(value));
    }
}

void Span::finish()
{
    if (auto *tracer = std::exchange(m_tracer, nullptr)) {
        tracer->write(*this);
    }
}

Tracer::Tracer(const Clock &clock, RandomSource &random, std::string process, const std::string &file, Logger &logger)
    : m_clock(clock)
    , m_random(random)
    , m_process(std::move(process))
    , m_logger(logger)
{
    if (!file.empty()) {
        m_file.open(file, std::ios::app);
        if (!m_file) {
            m_logger.write(Events::kTraceFileFailed, { field("file", file) });
        }
    }
}

Span Tracer::start(std::string name, std::string_view parentHeader)
{
    Span span;
    const bool writes = m_file.is_open();
    if (auto parent = parseTraceparent(parentHeader)) {
        span.m_context = std::move(*parent);
        span.m_parentSpan = span.m_context.spanId;
    } else {
        span.m_context.traceId = randomId(m_random) + randomId(m_random);
        span.m_context.flags = writes ? kSampled : 0;
    }
    span.m_context.spanId = randomId(m_random);
    if (writes && (span.m_context.flags & kSampled) != 0) {
        span.m_tracer = this;
        span.m_name = std::move(name);
        span.m_start = m_clock.now();
        span.m_wallStart = m_clock.wallNow();
    }
    return span;
}

void Tracer::write(const Span &span)
{
    nlohmann::json line = {
        { "trace_id", span.m_context.traceId },
        { "span_id", span.m_context.spanId },
        { "parent_span_id", span.m_parentSpan },
        { "name", span.m_name },
        { "process", m_process },
        { "start_unix_ms", span.m_wallStart.time_since_epoch().count() },
        { "duration_us", std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - span.m_start).count() },
    };
    for (const auto &[name, value] : span.m_tags) {
        line["tags"][name] = value;
    }
    // Tags can contain bytes from callers that are not valid UTF-8.
    m_file << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
    if (!m_file && !m_failed) {
        m_failed = true;
        m_logger.write(Events::kTraceFileFailed, {});
    }
}

} // namespace Toucandeck
