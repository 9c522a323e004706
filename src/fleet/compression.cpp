#include "fleet/compression.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <new>
#include <zlib.h>

namespace Toucandeck
{

namespace
{

constexpr std::size_t kFirstBufferBytes = 64U << 10U;

} // namespace

std::string compress(std::string_view data)
{
    auto n = ::compressBound(data.size());
    std::string out(n, '\0');
    const int ec
        = ::compress2(reinterpret_cast<Bytef *>(out.data()), &n, reinterpret_cast<const Bytef *>(data.data()), data.size(), Z_BEST_SPEED);
    if (ec != Z_OK) {
        throw std::bad_alloc(); // The buffer suffices for any input.
    }
    out.resize(n);
    return out;
}

Result<std::string> decompress(std::string_view stream, std::size_t maxBytes)
{
    z_stream state{};
    if (::inflateInit(&state) != Z_OK) {
        throw std::bad_alloc();
    }
    const std::unique_ptr<z_stream, decltype(&::inflateEnd)> guard(&state, &::inflateEnd);
    state.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(stream.data()));
    state.avail_in = static_cast<uInt>(stream.size());
    std::string out;
    int ec = Z_OK;
    while (ec == Z_OK) {
        const auto n = out.size();
        out.resize(std::min(std::max(2 * n, kFirstBufferBytes), maxBytes + 1));
        state.next_out = reinterpret_cast<Bytef *>(out.data()) + n;
        state.avail_out = static_cast<uInt>(out.size() - n);
        ec = ::inflate(&state, Z_NO_FLUSH);
        out.resize(out.size() - state.avail_out);
        if (out.size() > maxBytes) {
            return fail(ErrorCode::Refused, fmt::format("the data exceeds {} bytes", maxBytes));
        }
    }
    if (ec != Z_STREAM_END || state.avail_in != 0) {
        return fail(ErrorCode::Corrupt, "not a complete zlib stream");
    }
    return out;
}

} // namespace Toucandeck
