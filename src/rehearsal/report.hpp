// What a rehearsal came to, for people and for programs: text, JSON, JUnit XML and one HTML page
// that needs nothing beside it.
#ifndef BRASSFRONT_REHEARSAL_REPORT_HPP_
#define BRASSFRONT_REHEARSAL_REPORT_HPP_

#include <string>

#include "rehearsal/run.hpp"

namespace brassfront::rehearsal {

std::string TextReport(const Result& result);
std::string JsonReport(const Result& result);
std::string JUnitReport(const Result& result);
std::string HtmlReport(const Result& result);

// All of them into the folder: report.txt, report.json, junit.xml, report.html.
void WriteReports(const Result& result, const std::string& folder);

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_REPORT_HPP_
