/// The table of docs/CONFIGURATION.md, made from the schema.
#pragma once

#include <string>

namespace millstair {

/// One Markdown row for each key: key, value, default, bounds, description.
std::string SettingsTable();

}  // namespace millstair
