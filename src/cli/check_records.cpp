// `brassfront check-records`: checks an operator file and reports its errors.
#include <cxxopts.hpp>
#include <iostream>
#include <optional>

#include "cli/command.hpp"
#include "records/records.hpp"

namespace brassfront {

int CheckRecordsCommand(int argc, char** argv) {
  cxxopts::Options options("brassfront check-records",
                           "Checks a file of typed records and reports its errors");
  options.add_options()("file", "the file", cxxopts::value<std::string>())(
      "schema", "a schema file to validate against", cxxopts::value<std::string>())(
      "definition", "the schema definition that the file must satisfy",
      cxxopts::value<std::string>()->default_value("#File"))(
      "json", "print the resulting record as JSON, including defaults");
  options.parse_positional({"file"});
  options.positional_help("FILE");
  const std::optional<cxxopts::ParseResult> parsed = ParseOptions(options, argc, argv);
  if (!parsed) return 0;
  const cxxopts::ParseResult& given = *parsed;
  if (given.count("file") == 0) throw UsageError("no file named");
  const auto path = given["file"].as<std::string>();
  try {
    const std::string text = records::ReadRecordFile(path);
    std::optional<records::Record> record;
    if (given.count("schema") > 0) {
      const auto schema_path = given["schema"].as<std::string>();
      const std::string schema = records::ReadRecordFile(schema_path);
      record =
          records::Load({text, path}, {schema, schema_path}, given["definition"].as<std::string>());
    } else {
      record = records::LoadAlone({text, path});
    }
    std::cout << (given.count("json") > 0 ? record->Json() : path + ": good") << "\n";
    return 0;
  } catch (const records::BadRecords& bad) {
    std::cerr << bad.what() << "\n";
    return 1;
  }
}

}  // namespace brassfront
