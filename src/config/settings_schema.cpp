#include "config/settings_schema.h"

#include <nlohmann/json.hpp>

namespace Toucandeck::internal
{

namespace
{

constexpr const char *kSchema = R"JSON({
  "type": "object",
  "description": "an object",
  "additionalProperties": false,
  "required": ["process", "failure_domain", "roles", "message_address", "http_address", "controllers"],
  "properties": {
    "process": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$", "description": "a name of 1 to 64 letters, digits, '.', '_' or '-'"},
    "failure_domain": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$", "description": "a name of 1 to 64 letters, digits, '.', '_' or '-'"},
    "service": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$", "description": "a name of 1 to 64 letters, digits, '.', '_' or '-'"},
    "roles": {
      "type": "array", "minItems": 1, "maxItems": 2, "uniqueItems": true,
      "items": {"enum": ["router", "controller"], "description": "\"router\" or \"controller\""},
      "description": "a list of \"router\", \"controller\" or both"
    },
    "message_address": {"type": "string", "pattern": "^tcp://[0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]{1,5}$", "description": "\"tcp://IP:PORT\""},
    "message_bind": {"type": "string", "pattern": "^tcp://[0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]{1,5}$", "description": "\"tcp://IP:PORT\""},
    "http_address": {"type": "string", "pattern": "^[0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]{1,5}$", "description": "\"IP:PORT\""},
    "controllers": {
      "type": "array", "minItems": 1, "maxItems": 7, "description": "a list of 1 to 7 controllers",
      "items": {
        "type": "object", "additionalProperties": false, "required": ["message_address", "http_address"],
        "description": "an object with message_address and http_address",
        "properties": {
          "message_address": {"type": "string", "pattern": "^tcp://[0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]{1,5}$", "description": "\"tcp://IP:PORT\""},
          "http_address": {"type": "string", "pattern": "^[0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]{1,5}$", "description": "\"IP:PORT\""},
          "public_key": {"type": "string", "minLength": 40, "maxLength": 40, "description": "a CURVE public key of 40 characters (Z85)"}
        }
      }
    },
    "data_dir": {"type": "string", "minLength": 1, "description": "the path of a folder"},
    "token_file": {"type": "string", "minLength": 1, "description": "the path of a file"},
    "curve": {
      "type": "object", "additionalProperties": false, "required": ["secret_key_file", "allowed_keys_dir"],
      "description": "an object with secret_key_file and allowed_keys_dir",
      "properties": {
        "secret_key_file": {"type": "string", "minLength": 1, "description": "the path of a file with a CURVE secret key (Z85)"},
        "server_public_key": {"type": "string", "minLength": 40, "maxLength": 40, "description": "a CURVE public key of 40 characters (Z85)"},
        "allowed_keys_dir": {"type": "string", "minLength": 1, "description": "the path of a folder with one public key per file"}
      }
    },
    "limits": {
      "type": "object", "additionalProperties": false, "description": "an object",
      "properties": {
        "max_body_bytes": {"type": "integer", "minimum": 1, "maximum": 8388608, "description": "an integer from 1 to 8388608"},
        "max_header_bytes": {"type": "integer", "minimum": 1024, "maximum": 1048576, "description": "an integer from 1024 to 1048576"},
        "message_high_water_mark": {"type": "integer", "minimum": 16, "maximum": 1000000, "description": "an integer from 16 to 1000000"},
        "queue_per_class": {"type": "integer", "minimum": 0, "maximum": 100000, "description": "an integer from 0 to 100000"},
        "max_waiting_requests": {"type": "integer", "minimum": 1, "maximum": 1000000, "description": "an integer from 1 to 1000000"},
        "default_deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000, "description": "an integer from 1 to 3600000"},
        "max_deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000, "description": "an integer from 1 to 3600000"},
        "shutdown_ms": {"type": "integer", "minimum": 1, "maximum": 3600000, "description": "an integer from 1 to 3600000"}
      }
    },
    "trace_file": {"type": "string", "minLength": 1, "description": "the path of a file"},
    "log_level": {"enum": ["debug", "info", "warning", "error"], "description": "\"debug\", \"info\", \"warning\" or \"error\""}
  }
})JSON";

} // namespace

const nlohmann::json &settingsSchema()
{
    static const auto schema = nlohmann::json::parse(kSchema);
    return schema;
}

} // namespace Toucandeck::internal
