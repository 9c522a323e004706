// Guards against data that differs after compression, and against a small stream that fills the memory of its receiver.
#include "fleet/compression.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;

namespace
{

constexpr std::size_t kMaxBytes = 1U << 20U;

ErrorCode errorOf(std::string_view stream, std::size_t maxBytes)
{
    return handleError(
        [&]() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(decompress(stream, maxBytes));
            ADD_FAILURE() << "no error";
            return ErrorCode::Unavailable;
        },
        [](const Error &error) { return error.code; });
}

} // namespace

RC_GTEST_PROP(Compression, ReturnsWhatWasCompressed, (const std::string &data))
{
    RC_ASSERT(decompress(compress(data), kMaxBytes).value() == data);
}

TEST(Compression, ReturnsDataOfExactlyTheLimit)
{
    const std::string data(kMaxBytes, 'x');
    EXPECT_EQ(decompress(compress(data), kMaxBytes).value(), data);
}

TEST(Compression, RefusesDataBeyondTheLimit)
{
    EXPECT_EQ(errorOf(compress(std::string(kMaxBytes + 1, 'x')), kMaxBytes), ErrorCode::Refused);
}

TEST(Compression, RejectsAStreamThatIsTruncatedDamagedOrFollowedByOtherBytes)
{
    const auto stream = compress("some text, some text, some text");
    EXPECT_EQ(errorOf({}, kMaxBytes), ErrorCode::Corrupt);
    for (std::size_t n = 1; n < stream.size(); ++n) {
        EXPECT_EQ(errorOf(stream.substr(0, n), kMaxBytes), ErrorCode::Corrupt) << n;
    }
    auto damaged = stream;
    damaged.back() = static_cast<char>(damaged.back() ^ 1);
    EXPECT_EQ(errorOf(damaged, kMaxBytes), ErrorCode::Corrupt);
    EXPECT_EQ(errorOf(stream + "x", kMaxBytes), ErrorCode::Corrupt);
}
