# A single tool that counts the lines of a file of readings.
cwlVersion: v1.2
class: CommandLineTool
$namespaces: {gd: "https://grebedock.example/cwl#"}
baseCommand: [wc, -l]
stdin: $(inputs.readings.path)
stdout: lines.txt
inputs:
  readings: File
outputs:
  lines:
    type: int
    outputBinding:
      glob: lines.txt
      loadContents: true
      outputEval: $(parseInt(self[0].contents))
requirements:
  InlineJavascriptRequirement: {}
  ResourceRequirement: {coresMin: 1, ramMin: 256}
hints:
  gd:Job: {team: ops, jobClass: reports, priority: standard, estimate: 5}
