#pragma once

#include "common/result.h"

#include <set>
#include <string>

namespace Toucandeck::internal
{

/// CURVE key pair, encoded as Z85 text.
struct CurveKeys
{
    std::string secretKey;
    std::string publicKey;
};

/// True for 40 characters of Z85 that decode to a key.
bool isCurveKey(const std::string &text);

/// Reads the secret key and derives the public one. Fails with InvalidArgument that names the file.
Result<CurveKeys> readCurveKeys(const std::string &secretKeyFile);

/// Reads one public key from each file of the folder. A file with any other content makes the whole call fail.
Result<std::set<std::string>> readAllowedKeys(const std::string &folder);

} // namespace Toucandeck::internal
