#include "runtime/curve_keys.h"

#include <array>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <zmq.h>

namespace Toucandeck::internal
{

namespace
{

/// Length of a 32-byte key in Z85.
constexpr std::size_t kKeyLength = 40;

Result<std::string> readKeyFile(const std::filesystem::path &file)
{
    std::ifstream in(file);
    std::string key;
    if (!(in >> key)) {
        return fail(ErrorCode::InvalidArgument, fmt::format("key file {} cannot be read or is empty", file.string()));
    }
    if (!isCurveKey(key)) {
        return fail(ErrorCode::InvalidArgument, fmt::format("key file {} holds no Z85 key of {} characters", file.string(), kKeyLength));
    }
    return key;
}

} // namespace

bool isCurveKey(const std::string &text)
{
    std::array<std::uint8_t, 32> raw{};
    return text.size() == kKeyLength && zmq_z85_decode(raw.data(), text.c_str()) != nullptr;
}

Result<CurveKeys> readCurveKeys(const std::string &secretKeyFile)
{
    BOOST_LEAF_AUTO(secretKey, readKeyFile(secretKeyFile));
    std::array<char, kKeyLength + 1> publicKey{};
    if (zmq_curve_public(publicKey.data(), secretKey.c_str()) != 0) {
        return fail(ErrorCode::InvalidArgument, "the message library was built without CURVE");
    }
    return CurveKeys{ secretKey, publicKey.data() };
}

Result<std::set<std::string>> readAllowedKeys(const std::string &folder)
{
    std::error_code ec;
    const std::filesystem::directory_iterator files(folder, ec);
    if (ec) {
        return fail(ErrorCode::InvalidArgument, fmt::format("folder of allowed keys {}: {}", folder, ec.message()));
    }
    std::set<std::string> keys;
    for (const auto &it : files) {
        BOOST_LEAF_AUTO(key, readKeyFile(it.path()));
        keys.insert(key);
    }
    return keys;
}

} // namespace Toucandeck::internal
